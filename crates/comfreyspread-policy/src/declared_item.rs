//! Common interface of declared items: a kind and a name.

use comfreyspread_schema::{ids, types};

/// An item that operators declare.
pub trait DeclaredItem {
    /// Kind of the item.
    const KIND: types::DeclarationKind;

    /// Returns the name, which is unique among items of the same kind.
    fn name(&self) -> &ids::Text;
}

macro_rules! impl_declared_item {
    ($($item:ident = $kind:ident;)*) => {
        $(impl DeclaredItem for types::$item {
            const KIND: types::DeclarationKind = types::DeclarationKind::$kind;

            fn name(&self) -> &ids::Text {
                &self.name
            }
        })*
    };
}

impl_declared_item! {
    ZoneDeclaration = Zone;
    PoolDeclaration = Pool;
    EndpointDeclaration = Endpoint;
    PipelineDeclaration = Pipeline;
    ServiceDeclaration = Service;
    ProfileDeclaration = Profile;
    WorkspaceDeclaration = Workspace;
}
