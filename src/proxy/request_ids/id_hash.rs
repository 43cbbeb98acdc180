//! The hash by which the processes of a balancer know a request id.

/// A hash of the id that a client gave its request. Two ids are taken for the same one with a probability that is far
/// below that of any other failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct IdHash(pub u64);

impl IdHash {
    /// The hash of an id: FNV-1a, which is the same in each version of the program. Never zero, which marks a free slot.
    pub fn new(id: &str) -> Self {
        const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
        const PRIME: u64 = 0x0100_0000_01b3;
        let hash = id.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME));
        Self(hash.max(1))
    }
}
