//! What the host grants a process: memory and descriptors.

use crate::process::ini_reader::IniReader;

/// Default memory of a process in MiB (`limits.memory-mib`).
const DEFAULT_MEMORY_MIB: u64 = 128;
/// Range of the memory in MiB that is allowed.
const MEMORY_RANGE: std::ops::RangeInclusive<u64> = 32..=1_048_576;
/// Default number of descriptors of a process (`limits.descriptors`).
const DEFAULT_DESCRIPTORS: u64 = 4_096;
/// Range of the number of descriptors that is allowed.
const DESCRIPTOR_RANGE: std::ops::RangeInclusive<u64> = 256..=1_048_576;
/// Bytes in a MiB.
const MIB: u64 = 1_048_576;

/// What the host grants a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineLimits {
    /// Memory in bytes. A process that needs more is killed.
    pub memory_bytes: u64,
    /// Descriptors of files and sockets.
    pub descriptors: u64,
}

impl Default for MachineLimits {
    fn default() -> MachineLimits {
        MachineLimits { memory_bytes: DEFAULT_MEMORY_MIB * MIB, descriptors: DEFAULT_DESCRIPTORS }
    }
}

impl MachineLimits {
    /// Reads the section `limits`; values out of range are reported.
    ///
    /// ```
    /// use greengagearch::process::ini_reader::IniReader;
    /// use greengagearch::process::machine_limits::MachineLimits;
    ///
    /// let mut reader = IniReader::open("node.ini", "[limits]\nmemory-mib = 256\n");
    /// let limits = MachineLimits::read(&mut reader);
    /// assert_eq!(limits.memory_bytes, 256 * 1_048_576);
    /// assert_eq!(limits.descriptors, MachineLimits::default().descriptors);
    /// ```
    pub fn read(reader: &mut IniReader) -> MachineLimits {
        let memory = reader.number("limits", "memory-mib", DEFAULT_MEMORY_MIB, MEMORY_RANGE);
        let descriptors =
            reader.number("limits", "descriptors", DEFAULT_DESCRIPTORS, DESCRIPTOR_RANGE);
        MachineLimits { memory_bytes: memory * MIB, descriptors }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn limits_out_of_range_are_reported() {
        let mut reader =
            IniReader::open("node.ini", "[limits]\nmemory-mib = 0\ndescriptors = 10\n");
        assert_eq!(MachineLimits::read(&mut reader), MachineLimits::default());
        assert_eq!(reader.finish().0.len(), 2);
    }
}
