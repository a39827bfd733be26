//! Bytes that are collected in blocks of one size.
//!
//! Large buffers that grow leave holes in the memory of the process that no other large buffer fits
//! into, and a list of pieces as they arrive can take many times their length.

use bytes::{Bytes, BytesMut};

/// Maximum length of a block, in bytes.
pub const BLOCK_BYTES: usize = 16 << 10;

/// Bytes in the order in which they were added.
#[derive(Debug, Default)]
pub struct Blocks {
    full: Vec<Bytes>,
    /// The block that is not full.
    last: BytesMut,
}

impl Blocks {
    /// Adds bytes.
    pub fn append(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let (fitting, rest) = bytes.split_at(bytes.len().min(BLOCK_BYTES - self.last.len()));
            self.last.extend_from_slice(fitting);
            bytes = rest;
            if self.last.len() == BLOCK_BYTES {
                let next = BytesMut::with_capacity(BLOCK_BYTES);
                self.full.push(std::mem::replace(&mut self.last, next).freeze());
            }
        }
    }

    /// Returns the memory that a number of bytes takes, with the spare capacity of the last block.
    pub fn cost_of(length: usize) -> usize {
        match length {
            0 => 0,
            1..BLOCK_BYTES => length.next_power_of_two(),
            _ => (length / BLOCK_BYTES + 1) * BLOCK_BYTES,
        }
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.full.len() * BLOCK_BYTES + self.last.len()
    }

    /// Returns whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Removes and returns the bytes as one.
    pub fn take_joined(&mut self) -> Bytes {
        let mut blocks = std::mem::take(self).into_vec();
        match blocks.len() {
            0 => Bytes::new(),
            1 => blocks.remove(0),
            _ => blocks.concat().into(),
        }
    }

    /// Returns the blocks.
    pub fn into_vec(self) -> Vec<Bytes> {
        let mut blocks = self.full;
        if !self.last.is_empty() {
            blocks.push(self.last.freeze());
        }
        blocks
    }
}

#[cfg(test)]
mod tests {
    use super::{BLOCK_BYTES, Blocks};

    #[test]
    fn bytes_keep_their_order_in_blocks_of_one_size() {
        let bytes: Vec<u8> = (0..3 * BLOCK_BYTES + 5).map(|index| index as u8).collect();
        for length in [1, 7, BLOCK_BYTES, BLOCK_BYTES + 1, bytes.len()] {
            let mut blocks = Blocks::default();
            for piece in bytes.chunks(length) {
                blocks.append(piece);
            }
            assert_eq!(blocks.len(), bytes.len());
            let lengths: Vec<usize> = blocks.full.iter().map(|block| block.len()).collect();
            assert_eq!(lengths, [BLOCK_BYTES; 3]);
            assert_eq!(blocks.take_joined(), bytes);
            assert!(blocks.is_empty());
        }
    }
}
