//! The attribute macro [`macro@data`], which adds the derives that most data types of
//! trefoillock share.
//!
//! The package has no dependencies; every other package can use it.

use proc_macro::TokenStream;

/// The derives of plain data types.
const DATA_DERIVES: &str = "#[derive(Debug, Clone, PartialEq, Eq, \
    ::serde::Serialize, ::serde::Deserialize)]";

/// The derives of small copyable types that can serve as keys.
const KEY_DERIVES: &str = "#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, \
    ::serde::Serialize, ::serde::Deserialize)]";

/// The derives of plain data types with floating-point fields, which cannot be `Eq`.
const FLOAT_DERIVES: &str = "#[derive(Debug, Clone, PartialEq, \
    ::serde::Serialize, ::serde::Deserialize)]";

/// Adds the common derives to a type.
///
/// - `#[data]`: `Debug`, `Clone`, `PartialEq`, `Eq`, `Serialize`, `Deserialize`.
/// - `#[data(key)]`: the same plus `Copy`, `PartialOrd`, `Ord`, `Hash`.
/// - `#[data(float)]`: the same as `#[data]` without `Eq`.
///
/// Any other argument is a compile error.
#[proc_macro_attribute]
pub fn data(args: TokenStream, item: TokenStream) -> TokenStream {
    let derives = match args.to_string().as_str() {
        "" => DATA_DERIVES,
        "key" => KEY_DERIVES,
        "float" => FLOAT_DERIVES,
        _ => {
            return "compile_error!(\"data takes no argument, `key` or `float`\");"
                .parse()
                .unwrap_or_default();
        }
    };
    let mut tokens: TokenStream = derives.parse().unwrap_or_default();
    tokens.extend(item);
    tokens
}
