//! Generates the types of messages and declarations with `typify`.
//!
//! A definition with `x-alias` becomes a type alias; the others become structs and enums. A
//! property that ends in `_ms` becomes a `std::time::Duration` without the suffix, which is encoded
//! as whole milliseconds: `budget_ms` of the schema is the field `budget` in Rust.
//!
//! `x-rust-name` sets the Rust name of a definition or of a property. The wire name and the order of
//! fields stay those of the schema. `x-derive` lists traits that a definition derives beside the
//! usual ones.

use crate::source;
use miette::IntoDiagnostic as _;
use quote::{format_ident, quote};
use std::{iter, path};
use syn::{parse_quote, visit_mut, visit_mut::VisitMut as _};

const SCHEMA_FILES: [&str; 5] =
    ["ids.json", "declarations.json", "messages.json", "platform.json", "routing.json"];
const WIRE_FILES: [&str; 1] = ["wire.json"];
const LAB_FILES: [&str; 1] = ["lab.json"];
const ANSWER_FILES: [&str; 1] = ["answers.json"];
const ALIAS_KEY: &str = "x-alias";
const DERIVE_KEY: &str = "x-derive";
const NAME_KEY: &str = "x-rust-name";
const MILLISECOND_SUFFIX: &str = "_ms";

type JsonObject = serde_json::Map<String, serde_json::Value>;

/// Generates the type aliases.
///
/// # Errors
///
/// Fails if a schema file cannot be read or an alias is not a Rust type.
pub fn generate_ids(schema: &path::Path) -> miette::Result<syn::File> {
    let mut items = Vec::<syn::Item>::new();
    for (name, definition) in read_definitions(schema, &SCHEMA_FILES)? {
        let Some(alias) = alias_of(&definition) else { continue };
        let name = format_ident!("{}", rust_name(&name, &definition));
        let target: syn::Type = syn::parse_str(alias).into_diagnostic()?;
        let doc = definition["description"].as_str().unwrap_or_default();
        items.push(parse_quote! {
            #[doc = #doc]
            pub type #name = #target;
        });
    }
    Ok(parse_quote! {
        //! Type aliases of identifiers and basic types. Generated; do not edit.
        #(#items)*
    })
}

/// Generates the structs and enums of the schema crate.
///
/// # Errors
///
/// Fails if a schema file cannot be read or describes a type that cannot be generated.
pub fn generate_types(schema: &path::Path) -> miette::Result<syn::File> {
    let definitions = read_definitions(schema, &SCHEMA_FILES)?;
    let mut settings = new_settings();
    for (name, definition) in &definitions {
        if alias_of(definition).is_some() {
            let path = format!("crate::ids::{}", rust_name(name, definition));
            settings.with_replacement(name, path, iter::empty());
        }
    }
    generate(&settings, &definitions, &parse_quote!(crate))
}

/// Generates the structs and enums of the lab, which refer to types of the schema crate.
///
/// # Errors
///
/// Fails if a schema file cannot be read or describes a type that cannot be generated.
pub fn generate_lab_types(schema: &path::Path) -> miette::Result<syn::File> {
    generate_dependent(schema, &LAB_FILES)
}

/// Generates the node's answers, which refer to types of the schema crate.
///
/// # Errors
///
/// Fails if a schema file cannot be read or describes a type that cannot be generated.
pub fn generate_answers(schema: &path::Path) -> miette::Result<syn::File> {
    generate_dependent(schema, &ANSWER_FILES)
}

fn generate_dependent(schema: &path::Path, files: &[&str]) -> miette::Result<syn::File> {
    let mut settings = new_settings();
    let mut definitions = read_definitions(schema, &SCHEMA_FILES)?;
    for (name, definition) in &definitions {
        let module = if alias_of(definition).is_some() { "ids" } else { "types" };
        let path = format!("comfreyspread_schema::{module}::{}", rust_name(name, definition));
        settings.with_replacement(name, path, iter::empty());
    }
    definitions.append(&mut read_definitions(schema, files)?);
    generate(&settings, &definitions, &parse_quote!(comfreyspread_schema))
}

/// Generates the bodies of the platform's calls; `_ms` properties remain plain numbers.
///
/// # Errors
///
/// Fails if a schema file cannot be read or describes a type that cannot be generated.
pub fn generate_wire_types(schema: &path::Path) -> miette::Result<syn::File> {
    let definitions = read_definitions(schema, &WIRE_FILES)?;
    let mut file = expand(&new_settings(), &definitions)?;
    DeriveSorter.visit_file_mut(&mut file);
    Ok(file)
}

fn new_settings() -> typify::TypeSpaceSettings {
    let mut settings = typify::TypeSpaceSettings::default();
    settings.with_derive("PartialEq".to_owned());
    settings.with_map_type("::indexmap::IndexMap");
    settings
}

fn generate(
    settings: &typify::TypeSpaceSettings,
    definitions: &JsonObject,
    root_path: &syn::Path,
) -> miette::Result<syn::File> {
    let mut file = expand(settings, definitions)?;
    let module = quote!(#root_path::millis).to_string().replace(' ', "").into();
    DurationRewriter { module }.visit_file_mut(&mut file);
    DeriveSorter.visit_file_mut(&mut file);
    Ok(file)
}

fn expand(
    settings: &typify::TypeSpaceSettings,
    definitions: &JsonObject,
) -> miette::Result<syn::File> {
    let root = serde_json::json!({ "definitions": definitions });
    let root: schemars::schema::RootSchema = serde_json::from_value(root).into_diagnostic()?;
    let mut settings = settings.clone();
    for (name, definition) in definitions {
        let mut patch = typify::TypeSpacePatch::default();
        patch.with_rename(rust_name(name, definition));
        derives_of(definition).for_each(|derive| {
            patch.with_derive(derive);
        });
        settings.with_patch(name, &patch);
    }
    let mut space = typify::TypeSpace::new(&settings);
    space.add_ref_types(root.definitions).into_diagnostic()?;
    let tokens = space.to_stream();
    let mut file = syn::parse2(quote! {
        //! Messages, declarations and rows. Generated; do not edit.
        #tokens
    })
    .into_diagnostic()?;
    NameRewriter { definitions, properties: None }.visit_file_mut(&mut file);
    Ok(file)
}

fn read_definitions(schema: &path::Path, files: &[&str]) -> miette::Result<JsonObject> {
    let mut combined = JsonObject::new();
    for name in files {
        let mut file = source::read(schema, name)?;
        let Some(definitions) = file["definitions"].as_object_mut() else {
            miette::bail!("{name} has no definitions");
        };
        combined.append(definitions);
    }
    Ok(combined)
}

fn alias_of(definition: &serde_json::Value) -> Option<&str> {
    definition[ALIAS_KEY].as_str()
}

/// Returns the traits that a definition derives beside the usual ones.
fn derives_of(definition: &serde_json::Value) -> impl Iterator<Item = &str> {
    let derives = definition[DERIVE_KEY].as_array();
    derives.into_iter().flatten().filter_map(serde_json::Value::as_str)
}

/// Returns the Rust name of a definition whose name in the schema is `name`.
fn rust_name<'schema>(name: &'schema str, schema: &'schema serde_json::Value) -> &'schema str {
    schema[NAME_KEY].as_str().unwrap_or(name)
}

/// Returns the wire name of a field if a serde attribute sets it.
fn renamed_to(attributes: &[syn::Attribute]) -> Option<String> {
    let mut name = None;
    for attribute in attributes.iter().filter(|attribute| attribute.path().is_ident("serde")) {
        let parsed = attribute.parse_nested_meta(|meta| {
            if meta.input.peek(syn::Token![=]) {
                let value = meta.value()?.parse::<syn::LitStr>()?.value();
                name = name.take().or_else(|| meta.path.is_ident("rename").then_some(value));
            }
            Ok(())
        });
        parsed.ok();
    }
    name
}

/// Gives fields the Rust names that the schema sets, and keeps their wire names.
struct NameRewriter<'schema> {
    definitions: &'schema JsonObject,
    /// Properties of the struct or variant that is being visited.
    properties: Option<&'schema serde_json::Value>,
}

impl<'schema> NameRewriter<'schema> {
    fn definition(&self, ident: &syn::Ident) -> Option<&'schema serde_json::Value> {
        let mut definitions = self.definitions.iter();
        let found = definitions.find(|(name, definition)| ident == rust_name(name, definition));
        found.map(|(_, definition)| definition)
    }

    /// Returns the Rust name that the schema sets for a field.
    fn field_name(&self, name: &str) -> Option<syn::Ident> {
        let property = &self.properties?[name];
        property[NAME_KEY].as_str().map(|name| format_ident!("{name}"))
    }
}

impl visit_mut::VisitMut for NameRewriter<'_> {
    fn visit_item_struct_mut(&mut self, item: &mut syn::ItemStruct) {
        self.properties = self.definition(&item.ident).map(|definition| &definition["properties"]);
        visit_mut::visit_item_struct_mut(self, item);
    }

    fn visit_item_enum_mut(&mut self, item: &mut syn::ItemEnum) {
        let definition = self.definition(&item.ident);
        let schemas = definition.and_then(|definition| definition["oneOf"].as_array());
        for (variant, schema) in item.variants.iter_mut().zip(schemas.into_iter().flatten()) {
            self.properties = Some(&schema["properties"]);
            visit_mut::visit_variant_mut(self, variant);
        }
    }

    fn visit_item_impl_mut(&mut self, item: &mut syn::ItemImpl) {
        let syn::Type::Path(target) = &*item.self_ty else { return };
        let definition = target.path.get_ident().and_then(|ident| self.definition(ident));
        self.properties = definition.map(|definition| &definition["properties"]);
        visit_mut::visit_item_impl_mut(self, item);
    }

    fn visit_field_mut(&mut self, field: &mut syn::Field) {
        let Some(ident) = &mut field.ident else { return };
        let renamed = renamed_to(&field.attrs);
        let keeps_name = renamed.is_none();
        let outer = renamed.unwrap_or_else(|| ident.to_string());
        let Some(name) = self.field_name(&outer) else { return };
        if keeps_name {
            field.attrs.push(parse_quote!(#[serde(rename = #outer)]));
        }
        *ident = name;
    }

    fn visit_field_value_mut(&mut self, value: &mut syn::FieldValue) {
        let syn::Member::Named(ident) = &mut value.member else { return };
        if let Some(name) = self.field_name(&ident.to_string()) {
            *ident = name;
        }
    }
}

/// Turns fields in milliseconds into durations that are encoded as milliseconds.
struct DurationRewriter {
    /// Path of the module that encodes durations.
    module: Box<str>,
}

impl visit_mut::VisitMut for DurationRewriter {
    fn visit_field_mut(&mut self, field: &mut syn::Field) {
        let Some(ident) = &mut field.ident else { return };
        let name = renamed_to(&field.attrs).unwrap_or_else(|| ident.to_string());
        let Some(short) = name.strip_suffix(MILLISECOND_SUFFIX) else { return };
        if *ident == name {
            *ident = format_ident!("{short}");
        }
        let module = &*self.module;
        field.attrs.retain(|attribute| !attribute.path().is_ident("serde"));
        field.attrs.push(parse_quote!(#[serde(default, rename = #name, with = #module)]));
        field.ty = parse_quote!(::std::time::Duration);
    }
}

/// Sorts the traits of each derive by name.
struct DeriveSorter;

impl visit_mut::VisitMut for DeriveSorter {
    fn visit_attribute_mut(&mut self, attribute: &mut syn::Attribute) {
        if !attribute.path().is_ident("derive") {
            return;
        }
        let Ok(list) = attribute.meta.require_list() else { return };
        let parser = syn::punctuated::Punctuated::<syn::Path, syn::Token![,]>::parse_terminated;
        let Ok(paths) = list.parse_args_with(parser) else { return };
        let mut paths: Vec<_> = paths.into_iter().collect();
        paths.sort_by_key(|path| path.segments.last().map(|last| last.ident.to_string()));
        *attribute = parse_quote!(#[derive(#(#paths),*)]);
    }
}
