//! The command line's words.

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

/// run the entry daemon that sends to workers directly
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "gateway")]
pub(super) struct GatewayCommand {
    /// settings file (TOML); else the file named by the environment
    #[argh(option)]
    pub(super) settings: Option<PathBuf>,
}

/// keep what gateways know of the store, for those that start while it is away
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "keeper")]
pub(super) struct KeeperCommand {
    /// settings file (TOML); else the file named by the environment
    #[argh(option)]
    pub(super) settings: Option<PathBuf>,
}

/// print the story of a request, job or item from gateways' logs
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "explain")]
pub(super) struct Explain {
    /// id of the request, job or item
    #[argh(positional)]
    pub(super) id: String,
    /// log files, one of each process
    #[argh(option)]
    pub(super) logs: Vec<PathBuf>,
}

/// check settings of any program, or a manifest
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
    /// manifest
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

/// print the manifest that stands
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

/// put a manifest in place of the one that you saw
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "put")]
pub(super) struct ManifestPut {
    /// URL of an entry daemon
    #[argh(option)]
    pub(super) url: String,
    /// bearer token
    #[argh(option)]
    pub(super) token: Option<String>,
    /// generation that you saw last; 0 before the first
    #[argh(option)]
    pub(super) generation: u64,
    /// the manifest (TOML)
    #[argh(positional)]
    pub(super) file: String,
}

/// show whether the outcomes hold
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
    /// idempotency key: a resend with the same key finds the first job
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
    /// use an operator's token: any team's job may be cancelled
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

/// let a worker leave: nothing new, what runs finishes
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "drain")]
pub(super) struct WorkerDrain {
    /// URL of an entry daemon
    #[argh(option)]
    pub(super) url: String,
    /// bearer token
    #[argh(option)]
    pub(super) token: Option<String>,
    /// the worker
    #[argh(positional)]
    pub(super) name: String,
}

/// bring the newest accepted manifest into force everywhere at once
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
