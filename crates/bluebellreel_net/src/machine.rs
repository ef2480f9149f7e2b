//! The machine that a process runs on, and the shares of it that callers may take.

use crate::AccountLimits;
use nix::sys::resource::{Resource, getrlimit};

/// Memory that is assumed if the system does not tell it, in bytes.
const DEFAULT_MEMORY: usize = 256 << 20;
/// Minimum number of connections that a share has.
const MIN_CONNECTIONS: usize = 16;

/// Memory and sockets that a process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Memory in bytes.
    pub memory: usize,
    /// Sockets.
    pub sockets: usize,
}

impl Machine {
    /// The machine with these limits; those that are not given are asked of the system. `files`
    /// descriptors are kept for files.
    #[must_use]
    pub fn new(memory: Option<usize>, descriptors: Option<usize>, files: usize) -> Self {
        let descriptors = descriptors.unwrap_or_else(system_descriptors);
        Self {
            memory: memory.unwrap_or_else(system_memory),
            sockets: descriptors.saturating_sub(files),
        }
    }

    /// What callers may take: half of the sockets, and one of `parts` parts of the memory. The
    /// rest is for the process itself and for its own calls.
    #[must_use]
    pub fn callers(self, parts: usize) -> AccountLimits {
        self.share(parts, 2)
    }

    /// What may be kept for callers after their requests are answered.
    #[must_use]
    pub fn kept(self) -> AccountLimits {
        self.share(8, 1)
    }

    /// Memory of the answers to the process's own calls of one kind, in bytes.
    #[must_use]
    pub fn own_calls(self) -> usize {
        self.memory / 16
    }

    /// What peers, the balancer and readers of metrics may take, apart from callers.
    #[must_use]
    pub fn internal(self) -> AccountLimits {
        self.share(8, 8)
    }

    /// The share of one part in so many of the memory and of the sockets.
    fn share(self, memory: usize, sockets: usize) -> AccountLimits {
        AccountLimits {
            memory: self.memory / memory,
            connections: (self.sockets / sockets).max(MIN_CONNECTIONS),
        }
    }
}

fn system_descriptors() -> usize {
    let limit = getrlimit(Resource::RLIMIT_NOFILE).map_or(1024, |(soft, _)| soft);
    usize::try_from(limit).unwrap_or(usize::MAX)
}

fn system_memory() -> usize {
    let text = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let total = text.lines().find_map(|l| l.strip_prefix("MemTotal:"));
    let kib = total.and_then(|t| t.split_whitespace().next()?.parse::<usize>().ok());
    kib.map_or(DEFAULT_MEMORY, |kib| kib.saturating_mul(1024))
}
