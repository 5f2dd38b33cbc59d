//! Compression of large frames by DEFLATE.

use std::io::{Read as _, Write as _};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use prost::Message as _;

use super::{Malformed, wire};
use crate::peer::MAX_FRAME_BYTES;

/// Compresses an encoded frame. Records are JSON with many repeated names.
pub(super) fn compress(bytes: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let compressed = encoder.write_all(bytes).and_then(|()| encoder.finish());
    let body = compressed.map(|bytes| wire::Body::Compressed(wire::Compressed { bytes }));
    // Writing to memory does not fail.
    body.map_or_else(|_| bytes.to_vec(), |body| wire::Frame { body: Some(body) }.encode_to_vec())
}

pub(super) fn decompress(bytes: &[u8]) -> Result<Vec<u8>, Malformed> {
    let mut decompressed = Vec::new();
    let mut decoder = DeflateDecoder::new(bytes).take(MAX_FRAME_BYTES as u64 + 1);
    let read = decoder.read_to_end(&mut decompressed);
    read.map_err(|error| Malformed(error.to_string()))?;
    if decompressed.len() > MAX_FRAME_BYTES {
        return Err(Malformed("the decompressed frame is too large".into()));
    }
    Ok(decompressed)
}
