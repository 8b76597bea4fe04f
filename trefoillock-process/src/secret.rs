//! Files that hold a secret.

use std::{fs, path::Path};

use trefoillock_core::{Error, Peer, Step};

/// The largest secret, in bytes.
const MAX_SECRET_BYTES: usize = 1_024;

/// Reads a secret from a file and removes surrounding white space.
///
/// # Errors
///
/// Returns an error if the file cannot be read, or if the secret is empty, too long or not
/// printable ASCII.
pub fn read_secret(path: &Path) -> Result<String, Error> {
    let peer = || Peer::Platform(path.display().to_string());
    let text = fs::read_to_string(path).map_err(|error| Error::new(Step::Read, peer(), error))?;
    let secret = text.trim();
    let printable = secret.bytes().all(|b| b.is_ascii_graphic());
    if secret.is_empty() || secret.len() > MAX_SECRET_BYTES || !printable {
        let rule = "must hold 1 to 1024 printable ASCII characters without spaces";
        return Err(Error::new(Step::Read, peer(), rule));
    }
    Ok(secret.to_owned())
}
