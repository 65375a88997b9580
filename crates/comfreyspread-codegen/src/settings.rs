//! Generates the flags and the table of settings: variable, default, allowed values and help.

use crate::source;
use quote::{format_ident, quote};
use std::path;
use syn::parse_quote;

/// Generates the struct of flags and the table of settings.
///
/// # Errors
///
/// Fails if the schema file cannot be read or has no properties.
pub fn generate(schema: &path::Path) -> miette::Result<syn::File> {
    let root = source::read(schema, "settings.json")?;
    let prefix = root["x-environment-prefix"].as_str().unwrap_or_default();
    let Some(properties) = root["properties"].as_object() else {
        miette::bail!("settings.json has no properties");
    };
    let mut flags = Vec::new();
    let mut rows = Vec::new();
    for (name, property) in properties {
        flags.push(flag_field(name, property));
        rows.push(table_row(prefix, name, property));
    }
    let names: Vec<_> = properties.keys().map(|name| format_ident!("{name}")).collect();
    let keys: Vec<_> = properties.keys().collect();
    Ok(parse_quote! {
        //! Flags and the table of settings. Generated; do not edit.
        use crate::setting;

        /// Prefix of the environment variables that hold settings.
        pub const ENVIRONMENT_PREFIX: &str = #prefix;

        /// Every setting with its variable, default and allowed values.
        pub const SETTING_ROWS: &[setting::SettingRow] = &[#(#rows),*];

        /// serve callers, operators and other nodes
        #[derive(Clone, Debug, Default, argh::FromArgs)]
        #[argh(subcommand, name = "node")]
        pub struct NodeFlags {
            /// validate the settings and exit
            #[argh(switch)]
            pub check: bool,
            #(#flags),*
        }

        impl NodeFlags {
            /// Returns the text given for a setting, if its flag was used.
            pub fn get(&self, name: &str) -> Option<&str> {
                match name {
                    #(#keys => self.#names.as_deref(),)*
                    _ => None,
                }
            }
        }
    })
}

fn flag_field(name: &str, property: &serde_json::Value) -> proc_macro2::TokenStream {
    let ident = format_ident!("{name}");
    let mut help = property["description"].as_str().unwrap_or_default().to_owned();
    match &property["default"] {
        serde_json::Value::Null => help.push_str(" (required)"),
        default => help.push_str(&format!(" (default: {})", unquoted(default))),
    }
    quote! {
        #[doc = #help]
        #[argh(option)]
        pub #ident: Option<String>
    }
}

fn table_row(prefix: &str, name: &str, property: &serde_json::Value) -> proc_macro2::TokenStream {
    let variable = format!("{prefix}{}", name.to_uppercase());
    let help = property["description"].as_str().unwrap_or_default();
    let default = match &property["default"] {
        serde_json::Value::Null => quote!(None),
        value => {
            let text = unquoted(value);
            quote!(Some(#text))
        }
    };
    let allowed = allowed(property);
    quote! {
        setting::SettingRow {
            name: #name,
            variable: #variable,
            help: #help,
            default: #default,
            allowed: #allowed,
        }
    }
}

fn allowed(property: &serde_json::Value) -> proc_macro2::TokenStream {
    if let (Some(min), Some(max)) = (property["minimum"].as_u64(), property["maximum"].as_u64()) {
        return quote!(setting::AllowedValues::Range { min: #min, max: #max });
    }
    if let Some(choices) = property["enum"].as_array() {
        let choices = choices.iter().filter_map(serde_json::Value::as_str);
        return quote!(setting::AllowedValues::Choices(&[#(#choices),*]));
    }
    quote!(setting::AllowedValues::Text)
}

fn unquoted(value: &serde_json::Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
