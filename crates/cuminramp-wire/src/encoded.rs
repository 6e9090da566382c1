//! Protobuf encoding of RPC messages and of table rows.

use prost::{DecodeError, Message};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// A protobuf message that is serialized as a byte string.
///
/// The RPC transport encodes fields by position, so a peer of an older version would fail to decode
/// a message with an added field. Protobuf ignores unknown fields.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Encoded<M>(pub M);

impl<M: Message> Serialize for Encoded<M> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0.encode_to_vec())
    }
}

impl<'de, M: Message + Default> Deserialize<'de> for Encoded<M> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let bytes = Vec::<u8>::deserialize(deserializer)?;
        M::decode(bytes.as_slice()).map(Encoded).map_err(serde::de::Error::custom)
    }
}

/// Encodes a row for the platform's table.
///
/// ```
/// use cuminramp_wire::rows::HeadRow;
/// let row = HeadRow { generation: 3, ..HeadRow::default() };
/// let bytes = cuminramp_wire::encode_row(&row);
/// assert_eq!(cuminramp_wire::decode_row::<HeadRow>(&bytes).unwrap(), row);
/// ```
pub fn encode_row<M: Message>(row: &M) -> Vec<u8> {
    row.encode_to_vec()
}

/// Decodes a row; fails if the bytes are not a valid encoding of `M`.
pub fn decode_row<M: Message + Default>(bytes: &[u8]) -> Result<M, DecodeError> {
    M::decode(bytes)
}
