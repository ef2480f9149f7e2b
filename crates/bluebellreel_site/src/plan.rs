//! Configuration of a test site.

use bluebellreel_standins::{EngineCosts, KvLimits};
use std::path::PathBuf;
use std::time::Duration;

/// A deployment that a test site imitates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deployment {
    /// The rental service: three data centres, twelve workers, optimised for throughput.
    Rental,
    /// The booking desk: three data centres, nine workers, optimised for tail latency.
    BookingDesk,
}

impl Deployment {
    /// Names of its data centres.
    #[must_use]
    pub fn data_centres(self) -> [&'static str; 3] {
        match self {
            Self::Rental => ["Sligo", "Galway", "Castlebar"],
            Self::BookingDesk => ["Santander", "Bilbao", "Oviedo"],
        }
    }

    /// Name of the model that its engines serve.
    #[must_use]
    pub fn model(self) -> &'static str {
        match self {
            Self::Rental => "rental-assistant",
            Self::BookingDesk => "booking-desk",
        }
    }

    /// Number of its workers.
    #[must_use]
    pub fn workers(self) -> usize {
        match self {
            Self::Rental => 12,
            Self::BookingDesk => 9,
        }
    }

    /// The side processes' optimisation objective: `throughput` or `tail`.
    #[must_use]
    pub fn objective(self) -> &'static str {
        match self {
            Self::Rental => "throughput",
            Self::BookingDesk => "tail",
        }
    }
}

/// Configuration of a [`Site`](crate::Site).
#[derive(Clone, Debug)]
pub struct SitePlan {
    /// The deployment that the site imitates.
    pub deployment: Deployment,
    /// Number of entry daemons.
    pub entries: usize,
    /// Number of workers with a model engine.
    pub workers: usize,
    /// Number of backend servers of a plain service.
    pub services: usize,
    /// Cost model of an engine's step.
    pub costs: EngineCosts,
    /// Maximum concurrent attempts at an engine.
    pub window: u32,
    /// Limits of the key-value service.
    pub kv: KvLimits,
    /// Time to live of the daemons' leases, in seconds.
    pub lease_s: u64,
    /// Delay after which a change of the VM list becomes visible.
    pub vm_lag: Duration,
    /// File to which traces are written.
    pub trace: Option<PathBuf>,
    /// Additional settings of every entry daemon, as TOML.
    pub entry_settings: String,
    /// Number of workers that each daemon must be connected to before
    /// [`Site::start`](crate::Site::start) returns; all workers if `None`.
    pub connected: Option<usize>,
    /// Disks that store chunks of large jobs.
    pub disks: DiskPlan,
}

/// Number and size of the daemons' disks, and which chunks they store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DiskPlan {
    /// Number of daemons with a disk, counted from the first one. 0 disables disks.
    pub daemons: usize,
    /// Chunks smaller than this stay in the key-value service, in KiB.
    pub kv_below_kb: usize,
    /// Capacity of a disk, in MiB.
    pub max_mb: u64,
}

impl Default for SitePlan {
    fn default() -> Self {
        Self {
            deployment: Deployment::Rental,
            entries: 2,
            workers: 3,
            services: 1,
            costs: EngineCosts::default(),
            window: 32,
            kv: KvLimits::default(),
            lease_s: 5,
            vm_lag: Duration::from_millis(200),
            trace: None,
            entry_settings: String::new(),
            connected: None,
            disks: DiskPlan::default(),
        }
    }
}
