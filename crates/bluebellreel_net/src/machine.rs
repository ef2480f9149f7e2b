//! The machine that a process runs on, and the shares of it that callers may take.

use crate::AccountLimits;
use nix::sys::resource::{Resource, getrlimit};

/// Memory that is assumed if the system does not tell it, in bytes.
const DEFAULT_MEMORY: usize = 256 << 20;
/// Parts of which shares are made.
const PARTS: usize = 8;
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

    /// What callers may take of a gateway: three eighths. Each of their requests may need a
    /// socket of the gateway's own, and the process itself needs memory.
    #[must_use]
    pub fn callers(self) -> AccountLimits {
        self.share(3, 3)
    }

    /// What callers may take of another process: three eighths of its sockets, and so many
    /// eighths of its memory.
    #[must_use]
    pub fn callers_with(self, memory: usize) -> AccountLimits {
        self.share(memory, 3)
    }

    /// What may be kept for callers after their requests are answered.
    #[must_use]
    pub fn kept(self) -> AccountLimits {
        self.share(1, PARTS)
    }

    /// Memory of the answers to the process's own calls of one kind, in bytes.
    #[must_use]
    pub fn own_calls(self) -> usize {
        self.memory / (2 * PARTS)
    }

    /// Memory of each kind of what is kept for others: results of ended jobs for their readers,
    /// copies of peers' progress.
    #[must_use]
    pub fn kept_for_others(self) -> usize {
        self.memory / (2 * PARTS)
    }

    /// What peers, the balancer and readers of metrics may take, apart from callers.
    #[must_use]
    pub fn internal(self) -> AccountLimits {
        self.share(1, 1)
    }

    /// A share of so many parts of the memory and of the sockets.
    fn share(self, memory: usize, sockets: usize) -> AccountLimits {
        AccountLimits {
            memory: self.memory / PARTS * memory,
            connections: (self.sockets / PARTS * sockets).max(MIN_CONNECTIONS),
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
