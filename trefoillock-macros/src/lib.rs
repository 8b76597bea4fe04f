//! The attribute macro [`macro@data`], which adds the derives that nearly every type of
//! trefoillock shares.
//!
//! It stands below all other packages and has no dependencies.

use proc_macro::TokenStream;

/// Derives shared by all plain data types.
const DATA_DERIVES: &str = "#[derive(Debug, Clone, PartialEq, Eq, \
    ::serde::Serialize, ::serde::Deserialize)]";

/// Derives shared by small copied types that serve as keys.
const KEY_DERIVES: &str = "#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, \
    ::serde::Serialize, ::serde::Deserialize)]";

/// Derives shared by plain data types that hold floating-point numbers.
const FLOAT_DERIVES: &str = "#[derive(Debug, Clone, PartialEq, \
    ::serde::Serialize, ::serde::Deserialize)]";

/// Adds the common derives to a type.
///
/// - `#[data]`: `Debug`, `Clone`, `PartialEq`, `Eq`, `Serialize`, `Deserialize`.
/// - `#[data(key)]`: the same and `Copy`, `PartialOrd`, `Ord`, `Hash`.
/// - `#[data(float)]`: as `#[data]` without `Eq`.
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
    let mut out: TokenStream = derives.parse().unwrap_or_default();
    out.extend(item);
    out
}
