//! Settings of all programs, read from TOML files and validated.
//!
//! Raw settings mirror the file and are converted to domain types. An error names the
//! file, the key and the reason in one line.
//!
//! ```
//! let error = bluebellreel_settings::parse_entry("entry.toml", "nmae = 1").unwrap_err();
//! assert!(error.to_string().starts_with("entry.toml: "));
//! ```

mod data;
mod entry;
mod error;
mod gateway;
mod keeper;
mod machine;
mod parts;
mod scheduling;
mod side;
mod token;
mod vm;

pub use data::DataSettings;
pub use entry::{EntryLimits, EntrySettings, load_entry, parse_entry};
pub use error::SettingsError;
pub use gateway::{Advertise, GatewaySettings, load_gateway, parse_gateway};
pub use keeper::{KeeperSettings, load_keeper, parse_keeper};
pub use machine::Machine;
pub use parts::{LogLevel, LogTarget, TraceTarget};
pub use scheduling::Scheduling;
pub use side::{SidePriority, SideSettings, load_side, parse_side};
pub use token::{Principal, TokenTable, hash_token, is_same_token};
