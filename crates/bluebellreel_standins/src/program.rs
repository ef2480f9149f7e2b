//! Runs a stand-in as a separate process.

use crate::{
    EngineCosts, EngineSettings, KvLimits, StandIn, Vm, start_engine, start_kv,
    start_plain_service, start_vm_list, start_weight_store,
};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// Runs a stand-in for a system outside bluebellreel.
#[derive(argh::FromArgs)]
pub struct Arguments {
    /// address to listen at (IP:PORT)
    #[argh(option)]
    listen: SocketAddr,
    /// seconds after which the process exits by itself
    #[argh(option, default = "3600")]
    seconds: u64,
    #[argh(subcommand)]
    kind: Kind,
}

#[derive(argh::FromArgs)]
#[argh(subcommand)]
enum Kind {
    Engine(EngineArguments),
    Kv(KvArguments),
    WeightStore(WeightStoreArguments),
    VmList(VmListArguments),
    PlainService(PlainServiceArguments),
}

/// model engine
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "engine")]
struct EngineArguments {
    /// model that is loaded at the start; may be given more than once
    #[argh(option)]
    model: Vec<String>,
    /// duration of an empty step in microseconds
    #[argh(option, default = "4000")]
    step_micros: u64,
    /// URL of the weight store
    #[argh(option)]
    weight_store: Option<String>,
    /// accept orders with a stale fencing number too
    #[argh(switch)]
    unfenced: bool,
}

/// key-value service
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "kv")]
struct KvArguments {
    /// maximum writes per second
    #[argh(option, default = "400")]
    writes: u32,
    /// maximum reads per second
    #[argh(option, default = "2000")]
    reads: u32,
}

/// weight store
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "weight-store")]
struct WeightStoreArguments {
    /// maximum concurrent loads
    #[argh(option, default = "2")]
    at_once: u32,
    /// duration of a load in milliseconds
    #[argh(option, default = "500")]
    load_ms: u64,
}

/// VM list
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "vm-list")]
struct VmListArguments {
    /// file with the list (JSON)
    #[argh(option)]
    file: String,
    /// delay in milliseconds until a change becomes visible
    #[argh(option, default = "1000")]
    lag_ms: u64,
}

/// plain service
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "plain-service")]
struct PlainServiceArguments {}

/// Runs a stand-in for the requested time.
///
/// # Errors
///
/// Returns the error of the start.
pub fn run(arguments: &Arguments) -> eyre::Result<()> {
    let until = Instant::now() + Duration::from_secs(arguments.seconds);
    let stand_in = start(arguments)?;
    println!("listening at {}", stand_in.address);
    thread::sleep(until.saturating_duration_since(Instant::now()));
    Ok(())
}

fn start(arguments: &Arguments) -> eyre::Result<StandIn> {
    let listen = arguments.listen;
    Ok(match &arguments.kind {
        Kind::Engine(engine) => {
            let settings = EngineSettings {
                costs: EngineCosts {
                    base: Duration::from_micros(engine.step_micros),
                    ..EngineCosts::default()
                },
                models: engine.model.clone(),
                fences: !engine.unfenced,
                weight_store: engine.weight_store.clone(),
                ..EngineSettings::default()
            };
            start_engine(listen, settings)?
        }
        Kind::Kv(kv) => {
            let limits = KvLimits {
                writes: kv.writes,
                reads: kv.reads,
                ..KvLimits::default()
            };
            start_kv(listen, limits)?
        }
        Kind::WeightStore(store) => {
            let load_time = Duration::from_millis(store.load_ms);
            start_weight_store(listen, store.at_once, load_time)?
        }
        Kind::VmList(list) => {
            let text = std::fs::read_to_string(&list.file)?;
            let vms: Vec<Vm> = serde_json::from_str(&text)?;
            start_vm_list(listen, vms, Duration::from_millis(list.lag_ms))?
        }
        Kind::PlainService(_) => start_plain_service(listen)?,
    })
}
