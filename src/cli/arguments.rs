//! Arguments of the command line.

use std::path::PathBuf;

/// Serves online and batch inference on one fleet.
#[derive(argh::FromArgs)]
pub struct Arguments {
    #[argh(subcommand)]
    pub(super) command: Command,
}

#[derive(argh::FromArgs)]
#[argh(subcommand)]
pub(super) enum Command {
    Serve(Serve),
    Gateway(GatewayCommand),
    Keeper(KeeperCommand),
    Explain(Explain),
    Check(Check),
    Manifest(ManifestCommand),
    Outcomes(Outcomes),
    Job(JobCommand),
    Worker(WorkerCommand),
    RollForward(RollForward),
}

/// run the entry daemon
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "serve")]
pub(super) struct Serve {
    /// settings file (TOML)
    #[argh(option)]
    pub(super) settings: String,
}

/// run the entry daemon that sends requests to workers directly
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "gateway")]
pub(super) struct GatewayCommand {
    /// settings file (TOML); default: the file named by `BLUEBELLREEL_CONFIG`
    #[argh(option)]
    pub(super) settings: Option<PathBuf>,
}

/// keep the state that gateways read from the store, for gateways that start while
/// the store is unavailable
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "keeper")]
pub(super) struct KeeperCommand {
    /// settings file (TOML); default: the file named by `BLUEBELLREEL_CONFIG`
    #[argh(option)]
    pub(super) settings: Option<PathBuf>,
}

/// print the lines about a request, job or item from gateways' logs, in time order
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "explain")]
pub(super) struct Explain {
    /// id of the request, job or item
    #[argh(positional)]
    pub(super) id: String,
    /// log file of one process; may be given several times
    #[argh(option)]
    pub(super) logs: Vec<PathBuf>,
}

/// check the settings files of any program, or a manifest
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "check")]
pub(super) struct Check {
    /// settings file of an entry daemon
    #[argh(option)]
    pub(super) entry: Option<String>,
    /// settings file of a side process
    #[argh(option)]
    pub(super) side: Option<String>,
    /// settings file of a gateway
    #[argh(option)]
    pub(super) gateway: Option<PathBuf>,
    /// settings file of a keeper
    #[argh(option)]
    pub(super) keeper: Option<PathBuf>,
    /// manifest file (TOML)
    #[argh(option)]
    pub(super) manifest: Option<String>,
}

/// read or change the manifest
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "manifest")]
pub(super) struct ManifestCommand {
    #[argh(subcommand)]
    pub(super) action: ManifestAction,
}

#[derive(argh::FromArgs)]
#[argh(subcommand)]
pub(super) enum ManifestAction {
    Get(ManifestGet),
    Put(ManifestPut),
}

/// print the current manifest
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "get")]
pub(super) struct ManifestGet {
    /// URL of an entry daemon
    #[argh(option)]
    pub(super) url: String,
    /// bearer token
    #[argh(option)]
    pub(super) token: Option<String>,
}

/// replace the manifest; fails if it has changed since the given generation
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "put")]
pub(super) struct ManifestPut {
    /// URL of an entry daemon
    #[argh(option)]
    pub(super) url: String,
    /// bearer token
    #[argh(option)]
    pub(super) token: Option<String>,
    /// generation of the manifest to replace; 0 if there is none yet
    #[argh(option)]
    pub(super) generation: u64,
    /// the manifest (TOML)
    #[argh(positional)]
    pub(super) file: String,
}

/// show whether the service's objectives (outcomes) are met
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "outcomes")]
pub(super) struct Outcomes {
    /// URL of an entry daemon
    #[argh(option)]
    pub(super) url: String,
    /// bearer token
    #[argh(option)]
    pub(super) token: Option<String>,
    /// print JSON
    #[argh(switch)]
    pub(super) json: bool,
}

/// submit, show, read or cancel a batch job
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "job")]
pub(super) struct JobCommand {
    #[argh(subcommand)]
    pub(super) action: JobAction,
}

#[derive(argh::FromArgs)]
#[argh(subcommand)]
pub(super) enum JobAction {
    Submit(JobSubmit),
    Show(JobShow),
    Results(JobResults),
    Cancel(JobCancel),
}

/// submit a job
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "submit")]
pub(super) struct JobSubmit {
    /// URL of an entry daemon
    #[argh(option)]
    pub(super) url: String,
    /// bearer token
    #[argh(option)]
    pub(super) token: Option<String>,
    /// idempotency key: resubmitting with the same key returns the first job
    #[argh(option)]
    pub(super) key: String,
    /// when the results are due (RFC 3339)
    #[argh(option)]
    pub(super) deadline: Option<String>,
    /// print JSON
    #[argh(switch)]
    pub(super) json: bool,
    /// items, one JSON object a line
    #[argh(positional)]
    pub(super) file: String,
}

/// show a job
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "show")]
pub(super) struct JobShow {
    /// URL of an entry daemon
    #[argh(option)]
    pub(super) url: String,
    /// bearer token
    #[argh(option)]
    pub(super) token: Option<String>,
    /// print JSON
    #[argh(switch)]
    pub(super) json: bool,
    /// the job's id
    #[argh(positional)]
    pub(super) id: String,
}

/// print a job's results as JSONL
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "results")]
pub(super) struct JobResults {
    /// URL of an entry daemon
    #[argh(option)]
    pub(super) url: String,
    /// bearer token
    #[argh(option)]
    pub(super) token: Option<String>,
    /// the job's id
    #[argh(positional)]
    pub(super) id: String,
}

/// cancel a job
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "cancel")]
pub(super) struct JobCancel {
    /// URL of an entry daemon
    #[argh(option)]
    pub(super) url: String,
    /// bearer token
    #[argh(option)]
    pub(super) token: Option<String>,
    /// use an operator's token, which may cancel any team's job
    #[argh(switch)]
    pub(super) operator: bool,
    /// print JSON
    #[argh(switch)]
    pub(super) json: bool,
    /// the job's id
    #[argh(positional)]
    pub(super) id: String,
}

/// act on a worker
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "worker")]
pub(super) struct WorkerCommand {
    #[argh(subcommand)]
    pub(super) action: WorkerAction,
}

#[derive(argh::FromArgs)]
#[argh(subcommand)]
pub(super) enum WorkerAction {
    Drain(WorkerDrain),
}

/// drain a worker: it accepts no new work and finishes what is running
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "drain")]
pub(super) struct WorkerDrain {
    /// URL of an entry daemon
    #[argh(option)]
    pub(super) url: String,
    /// bearer token
    #[argh(option)]
    pub(super) token: Option<String>,
    /// name of the worker
    #[argh(positional)]
    pub(super) name: String,
}

/// put the newest accepted manifest into force everywhere at once
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "roll-forward")]
pub(super) struct RollForward {
    /// URL of an entry daemon
    #[argh(option)]
    pub(super) url: String,
    /// bearer token
    #[argh(option)]
    pub(super) token: Option<String>,
}
