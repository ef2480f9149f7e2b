//! What a site is to look like.

use bluebellreel_standins::{EngineCosts, KvLimits};
use std::path::PathBuf;
use std::time::Duration;

/// One of the two deployments of today.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deployment {
    /// The rental service: three data centres, twelve workers, throughput first.
    Rental,
    /// The booking desk: three data centres, nine workers, the tail first.
    BookingDesk,
}

impl Deployment {
    /// Its data centres.
    #[must_use]
    pub fn data_centres(self) -> [&'static str; 3] {
        match self {
            Self::Rental => ["Sligo", "Galway", "Castlebar"],
            Self::BookingDesk => ["Santander", "Bilbao", "Oviedo"],
        }
    }

    /// Its model.
    #[must_use]
    pub fn model(self) -> &'static str {
        match self {
            Self::Rental => "rental-assistant",
            Self::BookingDesk => "booking-desk",
        }
    }

    /// Its workers.
    #[must_use]
    pub fn workers(self) -> usize {
        match self {
            Self::Rental => 12,
            Self::BookingDesk => 9,
        }
    }

    /// Which measure its settings lean to.
    #[must_use]
    pub fn lean(self) -> &'static str {
        match self {
            Self::Rental => "throughput",
            Self::BookingDesk => "tail",
        }
    }
}

/// A site's plan.
#[derive(Clone, Debug)]
pub struct SitePlan {
    /// The deployment.
    pub deployment: Deployment,
    /// Entry daemons.
    pub entries: usize,
    /// Workers with a model engine.
    pub workers: usize,
    /// Backend servers of a plain service.
    pub services: usize,
    /// Costs of an engine's step.
    pub costs: EngineCosts,
    /// Attempts at an engine at one time.
    pub window: u32,
    /// Limits of the key-value service.
    pub kv: KvLimits,
    /// Time to live of the daemons' leases, in seconds.
    pub lease_s: u64,
    /// Lag of the VM list.
    pub vm_lag: Duration,
    /// A file for traces.
    pub trace: Option<PathBuf>,
    /// Further settings of every entry daemon, as TOML.
    pub entry_settings: String,
    /// Workers that each daemon is connected to before the site counts as up;
    /// all of them if none.
    pub connected: Option<usize>,
    /// Disks for chunks of large jobs.
    pub disks: DiskPlan,
}

/// Which daemons have a disk, and how chunks go there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DiskPlan {
    /// Daemons with a disk; the first ones. None switches disks off.
    pub daemons: usize,
    /// Size below which chunks stay in the key-value service, in KiB.
    pub kv_below_kb: usize,
    /// Size of a disk, in MiB.
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
