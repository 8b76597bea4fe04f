//! The codec of messages: MessagePack with named fields, and a count of the encoded bytes.

use std::{marker::PhantomData, sync::Arc};

use bytes::{Buf, BufMut};
use serde::{Serialize, de::DeserializeOwned};
use tonic::{
    Status,
    codec::{Codec, DecodeBuf, Decoder, EncodeBuf, Encoder},
};

use crate::TrafficCounter;

/// The deepest nesting of a message that is read. A deeper one could exceed the stack of a thread.
const MAX_DEPTH: usize = 128;

/// Encodes messages of type `E`, decodes messages of type `D` and counts their encoded bytes.
#[derive(Debug)]
pub struct MessageCodec<E, D> {
    traffic: Arc<TrafficCounter>,
    messages: PhantomData<fn(E) -> D>,
}

impl<E, D> MessageCodec<E, D> {
    /// Creates a codec that counts bytes in `traffic`.
    #[must_use]
    pub const fn new(traffic: Arc<TrafficCounter>) -> Self {
        Self {
            traffic,
            messages: PhantomData,
        }
    }
}

impl<E, D> Codec for MessageCodec<E, D>
where
    E: Serialize + Send + 'static,
    D: DeserializeOwned + Send + 'static,
{
    type Encode = E;
    type Decode = D;
    type Encoder = MessageEncoder<E>;
    type Decoder = MessageDecoder<D>;

    fn encoder(&mut self) -> Self::Encoder {
        MessageEncoder {
            traffic: self.traffic.clone(),
            message: PhantomData,
        }
    }

    fn decoder(&mut self) -> Self::Decoder {
        MessageDecoder {
            traffic: self.traffic.clone(),
            message: PhantomData,
        }
    }
}

/// The encoder of [`MessageCodec`].
#[derive(Debug)]
pub struct MessageEncoder<E> {
    traffic: Arc<TrafficCounter>,
    message: PhantomData<fn(E)>,
}

impl<E: Serialize> Encoder for MessageEncoder<E> {
    type Item = E;
    type Error = Status;

    fn encode(&mut self, message: E, dst: &mut EncodeBuf<'_>) -> Result<(), Status> {
        let bytes = rmp_serde::to_vec_named(&message)
            .map_err(|error| Status::internal(format!("message cannot be encoded: {error}")))?;
        self.traffic.add_sent(bytes.len());
        dst.put_slice(&bytes);
        Ok(())
    }
}

/// The decoder of [`MessageCodec`].
#[derive(Debug)]
pub struct MessageDecoder<D> {
    traffic: Arc<TrafficCounter>,
    message: PhantomData<fn() -> D>,
}

impl<D: DeserializeOwned> Decoder for MessageDecoder<D> {
    type Item = D;
    type Error = Status;

    fn decode(&mut self, src: &mut DecodeBuf<'_>) -> Result<Option<D>, Status> {
        let length = src.remaining();
        self.traffic.add_received(length);
        let bytes = src.copy_to_bytes(length);
        let mut deserializer = rmp_serde::Deserializer::from_read_ref(&bytes);
        deserializer.set_max_depth(MAX_DEPTH);
        D::deserialize(&mut deserializer)
            .map(Some)
            .map_err(|error| {
                Status::invalid_argument(format!("message cannot be decoded: {error}"))
            })
    }
}
