//! Buffers of fixed size that return their memory when they are dropped.
//!
//! Large ones are mapped from the kernel. The allocator keeps what it frees in the arena of the thread that
//! allocated it, and after large bodies have been freed it takes even larger ones from there: a crowd left
//! hundreds of megabytes behind, and the next one began on top of them.

use std::io;

use memmap2::MmapMut;

/// Size from which buffers are mapped, in bytes: a few pages.
const MAPPED_BYTES_MIN: usize = 32 << 10;

/// A buffer of fixed size.
#[derive(Debug)]
pub(crate) struct Buffer {
    memory: Memory,
    len: usize,
}

#[derive(Debug)]
enum Memory {
    Allocated(Vec<u8>),
    Mapped(MmapMut),
}

impl Buffer {
    /// Returns an empty buffer for this many bytes.
    ///
    /// # Errors
    ///
    /// Returns the kernel's error if it has no memory.
    pub(crate) fn new(capacity: usize) -> io::Result<Self> {
        let memory = match capacity {
            0..MAPPED_BYTES_MIN => Memory::Allocated(vec![0; capacity]),
            _ => Memory::Mapped(MmapMut::map_anon(capacity)?),
        };
        Ok(Self { memory, len: 0 })
    }

    fn memory_mut(&mut self) -> &mut [u8] {
        match &mut self.memory {
            Memory::Allocated(bytes) => bytes,
            Memory::Mapped(bytes) => bytes,
        }
    }

    /// Returns how many more bytes fit.
    pub(crate) fn room(&self) -> usize {
        let capacity = match &self.memory {
            Memory::Allocated(bytes) => bytes.len(),
            Memory::Mapped(bytes) => bytes.len(),
        };
        capacity - self.len
    }

    /// Appends the bytes that fit; returns the others.
    pub(crate) fn push<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let (fitting, rest) = bytes.split_at(self.room().min(bytes.len()));
        let end = self.len + fitting.len();
        let begin = self.len;
        self.memory_mut()[begin..end].copy_from_slice(fitting);
        self.len = end;
        rest
    }
}

impl AsRef<[u8]> for Buffer {
    fn as_ref(&self) -> &[u8] {
        let bytes: &[u8] = match &self.memory {
            Memory::Allocated(bytes) => bytes,
            Memory::Mapped(bytes) => bytes,
        };
        &bytes[..self.len]
    }
}
