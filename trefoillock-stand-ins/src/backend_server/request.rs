//! Reads HTTP/1.1 requests from a socket in parts, so that a fault can be injected in between.

use std::{fmt::Write as _, io};

use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, BufReader},
    net::tcp::OwnedReadHalf,
};

/// The maximum number of bytes read for one line.
const MAX_LINE_BYTES: usize = 64 * 1024;

/// A request head. Header names are in lower case.
#[derive(Debug, Default)]
pub(crate) struct Head {
    pub(crate) method: String,
    pub(crate) target: String,
    headers: Vec<(String, String)>,
}

impl Head {
    /// The value of the first header with this name, which must be in lower case.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(header, _)| header == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The request line and the headers, each on a line of its own.
    pub(crate) fn text(&self) -> String {
        let mut text = format!("{} {}\n", self.method, self.target);
        for (name, value) in &self.headers {
            let _ = writeln!(text, "{name}: {value}");
        }
        text
    }

    /// The path without the query.
    pub(crate) fn path(&self) -> &str {
        self.target
            .split_once('?')
            .map_or(&self.target, |(path, _)| path)
    }

    /// The value of a query parameter, if it is a number.
    pub(crate) fn parameter(&self, name: &str) -> Option<u64> {
        let (_, query) = self.target.split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let mut values = pairs.filter(|(key, _)| *key == name);
        values.next()?.1.parse().ok()
    }
}

/// Reads a request head. Returns `None` if the peer closed the connection without sending
/// one.
pub(crate) async fn read_head(rx: &mut BufReader<OwnedReadHalf>) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    let Some(line) = read_line(rx).await? else {
        return Ok(None);
    };
    let mut words = line.split(' ');
    words
        .next()
        .unwrap_or_default()
        .clone_into(&mut head.method);
    words
        .next()
        .unwrap_or_default()
        .clone_into(&mut head.target);
    loop {
        let line = read_line(rx).await?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            return Ok(Some(head));
        }
        if let Some((name, value)) = line.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            head.headers.push((name, value.trim().to_owned()));
        }
    }
}

/// The unread part of a request body.
pub(crate) enum RemainingBody {
    /// The number of bytes left of a body with a known length.
    Bytes(u64),
    /// A chunked body, up to its empty last chunk.
    Chunks,
}

impl RemainingBody {
    pub(crate) fn of(head: &Head) -> Self {
        if head.header("transfer-encoding").is_some() {
            return Self::Chunks;
        }
        let length = head.header("content-length").and_then(|v| v.parse().ok());
        Self::Bytes(length.unwrap_or(0))
    }

    /// Reads the first half of a body of known length, or the first chunk.
    pub(crate) async fn read_half(&mut self, rx: &mut BufReader<OwnedReadHalf>) -> io::Result<()> {
        match self {
            Self::Bytes(left) => {
                let half = *left / 2;
                skip(rx, half).await?;
                *left -= half;
            }
            Self::Chunks => {
                if read_chunk(rx).await? == 0 {
                    *self = Self::Bytes(0);
                }
            }
        }
        Ok(())
    }

    /// Reads the rest of the body.
    pub(crate) async fn read_rest(self, rx: &mut BufReader<OwnedReadHalf>) -> io::Result<()> {
        match self {
            Self::Bytes(left) => skip(rx, left).await,
            Self::Chunks => {
                while read_chunk(rx).await? > 0 {}
                Ok(())
            }
        }
    }
}

async fn read_chunk(rx: &mut BufReader<OwnedReadHalf>) -> io::Result<u64> {
    let line = read_line(rx).await?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let length = u64::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
    skip(rx, length).await?;
    read_line(rx).await?.ok_or(io::ErrorKind::UnexpectedEof)?;
    Ok(length)
}

async fn skip(rx: &mut BufReader<OwnedReadHalf>, length: u64) -> io::Result<()> {
    let read = tokio::io::copy(&mut rx.take(length), &mut tokio::io::sink()).await?;
    if read < length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(())
}

async fn read_line(rx: &mut BufReader<OwnedReadHalf>) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    let mut limited = rx.take(MAX_LINE_BYTES as u64);
    if limited.read_until(b'\n', &mut line).await? == 0 {
        return Ok(None);
    }
    let text = String::from_utf8(line).map_err(io::Error::other)?;
    Ok(Some(text.trim_end().to_owned()))
}
