//! What all declared items have in common: a kind and a name.

use comfreyspread_schema::{ids, types};

/// An item that operators declare.
pub trait DeclaredItem {
    /// Kind of the item.
    const KIND: types::DeclarationKind;

    /// Returns the name, unique among the items of the kind.
    fn name(&self) -> &ids::Text;
}

macro_rules! declared {
    ($($item:ident = $kind:ident;)*) => {
        $(impl DeclaredItem for types::$item {
            const KIND: types::DeclarationKind = types::DeclarationKind::$kind;

            fn name(&self) -> &ids::Text {
                &self.name
            }
        })*
    };
}

declared! {
    ZoneDeclaration = Zone;
    PoolDeclaration = Pool;
    EndpointDeclaration = Endpoint;
    PipelineDeclaration = Pipeline;
    ServiceDeclaration = Service;
    ProfileDeclaration = Profile;
    WorkspaceDeclaration = Workspace;
}
