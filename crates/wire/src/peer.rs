//! CBOR encoding of the messages between instances.

use corianderway_model::InstanceId;
use corianderway_node::Message;
use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;
use snafu::Snafu;

/// The maximum size of an encoded message.
pub const MAX_MESSAGE_BYTES: usize = 256 * 1024;

/// A message with its sender.
#[derive(Debug, Deserialize, Serialize)]
pub struct Envelope {
    /// The instance that sent the message.
    pub from: InstanceId,
    /// The message.
    pub message: Message,
}

/// A message that can't be encoded or decoded.
#[derive(Debug, Snafu)]
pub enum PeerError {
    /// The message can't be encoded.
    #[snafu(display("message can't be encoded: {source}; report this as a bug"))]
    Encode {
        /// The codec's error.
        source: ciborium::ser::Error<std::io::Error>,
    },
    /// The bytes are not a valid message.
    #[snafu(display("message can't be decoded: {source}; run one version on all instances"))]
    Decode {
        /// The codec's error.
        source: ciborium::de::Error<std::io::Error>,
    },
    /// The message exceeds [`MAX_MESSAGE_BYTES`].
    #[snafu(display("message of {size} bytes is too large; send at most 262144"))]
    TooLarge {
        /// The size in bytes.
        size: usize,
    },
}

/// Encodes a message.
///
/// # Errors
///
/// Fails if the codec does.
pub fn encode(envelope: &Envelope) -> Result<Vec<u8>, PeerError> {
    let mut bytes = Vec::new();
    ciborium::into_writer(envelope, &mut bytes).context(EncodeSnafu)?;
    Ok(bytes)
}

/// Decodes a message.
///
/// # Errors
///
/// Fails if the message is too large or invalid.
pub fn decode(bytes: &[u8]) -> Result<Envelope, PeerError> {
    let size = bytes.len();
    snafu::ensure!(size <= MAX_MESSAGE_BYTES, TooLargeSnafu { size });
    ciborium::from_reader(bytes).context(DecodeSnafu)
}
