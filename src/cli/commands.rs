//! Subcommands.

use crate::cli::client::{Answer, Client};
use crate::cli::explain::{self, LogLine};
use crate::cli::gateway;
use crate::cli::output::{print_job, print_outcomes};
use crate::program::{Running, run_program};
use bluebellreel_entry::start_entry;
use bluebellreel_fleet::Manifest;
use bluebellreel_settings::{load_entry, load_side};
use eyre::{Context, bail};
use serde_json::Value;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code for input that cannot be used.
const BAD_INPUT: u8 = 2;
/// Exit code of a command that failed.
const FAILED: u8 = 1;
/// Variable that holds the token when none is given.
const TOKEN_VARIABLE: &str = "BLUEBELLREEL_TOKEN";

/// Serves online and batch inference on one fleet.
#[derive(argh::FromArgs)]
pub struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(argh::FromArgs)]
#[argh(subcommand)]
enum Command {
    Serve(Serve),
    Gateway(GatewayCommand),
    Idle(Idle),
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
struct Serve {
    /// settings file (TOML)
    #[argh(option)]
    settings: String,
}

/// run the entry daemon that sends to workers directly
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "gateway")]
struct GatewayCommand {
    /// settings file (TOML); else the file named by the environment
    #[argh(option)]
    settings: Option<PathBuf>,
}

/// wait for the end, for VMs that must run a process and have nothing to do
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "idle")]
struct Idle {}

/// print the story of a request, job or item from gateways' logs
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "explain")]
struct Explain {
    /// id of the request, job or item
    #[argh(positional)]
    id: String,
    /// log files, one of each process
    #[argh(option)]
    logs: Vec<PathBuf>,
}

/// check settings of either program, or a manifest
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// settings file of an entry daemon
    #[argh(option)]
    entry: Option<String>,
    /// settings file of a side process
    #[argh(option)]
    side: Option<String>,
    /// manifest
    #[argh(option)]
    manifest: Option<String>,
}

/// read or change the manifest
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "manifest")]
struct ManifestCommand {
    #[argh(subcommand)]
    action: ManifestAction,
}

#[derive(argh::FromArgs)]
#[argh(subcommand)]
enum ManifestAction {
    Get(ManifestGet),
    Put(ManifestPut),
}

/// print the manifest that stands
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "get")]
struct ManifestGet {
    /// URL of an entry daemon
    #[argh(option)]
    url: String,
    /// bearer token
    #[argh(option)]
    token: Option<String>,
}

/// put a manifest in place of the one that you saw
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "put")]
struct ManifestPut {
    /// URL of an entry daemon
    #[argh(option)]
    url: String,
    /// bearer token
    #[argh(option)]
    token: Option<String>,
    /// generation that you saw last; 0 before the first
    #[argh(option)]
    generation: u64,
    /// the manifest (TOML)
    #[argh(positional)]
    file: String,
}

/// show whether the outcomes hold
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "outcomes")]
struct Outcomes {
    /// URL of an entry daemon
    #[argh(option)]
    url: String,
    /// bearer token
    #[argh(option)]
    token: Option<String>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// submit, show, read or cancel a batch job
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "job")]
struct JobCommand {
    #[argh(subcommand)]
    action: JobAction,
}

#[derive(argh::FromArgs)]
#[argh(subcommand)]
enum JobAction {
    Submit(JobSubmit),
    Show(JobShow),
    Results(JobResults),
    Cancel(JobCancel),
}

/// submit a job
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "submit")]
struct JobSubmit {
    /// URL of an entry daemon
    #[argh(option)]
    url: String,
    /// bearer token
    #[argh(option)]
    token: Option<String>,
    /// idempotency key: a resend with the same key finds the first job
    #[argh(option)]
    key: String,
    /// when the results are due (RFC 3339)
    #[argh(option)]
    deadline: Option<String>,
    /// print JSON
    #[argh(switch)]
    json: bool,
    /// items, one JSON object a line
    #[argh(positional)]
    file: String,
}

/// show a job
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "show")]
struct JobShow {
    /// URL of an entry daemon
    #[argh(option)]
    url: String,
    /// bearer token
    #[argh(option)]
    token: Option<String>,
    /// print JSON
    #[argh(switch)]
    json: bool,
    /// the job's id
    #[argh(positional)]
    id: String,
}

/// print a job's results as JSONL
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "results")]
struct JobResults {
    /// URL of an entry daemon
    #[argh(option)]
    url: String,
    /// bearer token
    #[argh(option)]
    token: Option<String>,
    /// the job's id
    #[argh(positional)]
    id: String,
}

/// cancel a job
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "cancel")]
struct JobCancel {
    /// URL of an entry daemon
    #[argh(option)]
    url: String,
    /// bearer token
    #[argh(option)]
    token: Option<String>,
    /// use an operator's token: any team's job may be cancelled
    #[argh(switch)]
    operator: bool,
    /// print JSON
    #[argh(switch)]
    json: bool,
    /// the job's id
    #[argh(positional)]
    id: String,
}

/// act on a worker
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "worker")]
struct WorkerCommand {
    #[argh(subcommand)]
    action: WorkerAction,
}

#[derive(argh::FromArgs)]
#[argh(subcommand)]
enum WorkerAction {
    Drain(WorkerDrain),
}

/// let a worker leave: nothing new, what runs finishes
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "drain")]
struct WorkerDrain {
    /// URL of an entry daemon
    #[argh(option)]
    url: String,
    /// bearer token
    #[argh(option)]
    token: Option<String>,
    /// the worker
    #[argh(positional)]
    name: String,
}

/// bring the newest accepted manifest into force everywhere at once
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "roll-forward")]
struct RollForward {
    /// URL of an entry daemon
    #[argh(option)]
    url: String,
    /// bearer token
    #[argh(option)]
    token: Option<String>,
}

/// Runs the command.
#[must_use]
pub fn run(arguments: Arguments) -> ExitCode {
    match arguments.command {
        Command::Serve(serve) => run_serve(&serve),
        Command::Gateway(command) => gateway::gateway(command.settings),
        Command::Idle(Idle {}) => gateway::idle(),
        Command::Explain(explain) => run_explain(&explain),
        Command::Check(check) => run_check(&check),
        command => match run_call(command) {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => {
                eprintln!("{e}");
                ExitCode::from(FAILED)
            }
        },
    }
}

fn run_serve(serve: &Serve) -> ExitCode {
    let settings = match load_entry(&serve.settings) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(BAD_INPUT);
        }
    };
    let log = settings.log.clone();
    run_program(&log, || {
        let entry = start_entry(settings)?;
        Ok(Running {
            stop: Box::new(move || entry.stop()),
        })
    })
}

fn run_explain(explain: &Explain) -> ExitCode {
    let mut lines = Vec::new();
    for path in &explain.logs {
        let text = match std::fs::read(path) {
            Ok(bytes) => String::from_utf8_lossy(&bytes).into_owned(),
            Err(e) => {
                eprintln!("{}: {e}", path.display());
                return ExitCode::from(BAD_INPUT);
            }
        };
        let source = path.file_stem().unwrap_or_default().to_string_lossy();
        lines.extend(text.lines().filter_map(|l| LogLine::read(&source, l)));
    }
    let story = explain::explain(&explain.id, &lines);
    if story.is_empty() {
        eprintln!("no line names {}", explain.id);
        return ExitCode::from(FAILED);
    }
    print!("{story}");
    ExitCode::SUCCESS
}

fn run_check(check: &Check) -> ExitCode {
    let mut errors = Vec::new();
    if let Some(path) = &check.entry {
        errors.extend(load_entry(path).err().map(|e| e.to_string()));
    }
    if let Some(path) = &check.side {
        errors.extend(load_side(path).err().map(|e| e.to_string()));
    }
    if let Some(path) = &check.manifest {
        errors.extend(manifest_errors(path));
    }
    if check.entry.is_none() && check.side.is_none() && check.manifest.is_none() {
        errors.push("nothing to check: give --entry, --side or --manifest".into());
    }
    if errors.is_empty() {
        println!("ok");
        return ExitCode::SUCCESS;
    }
    for error in errors {
        eprintln!("{error}");
    }
    ExitCode::from(BAD_INPUT)
}

fn manifest_errors(path: &str) -> Vec<String> {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(e) => return vec![format!("{path}: {e}")],
    };
    match Manifest::try_from(text.as_str()) {
        Ok(_) => Vec::new(),
        Err(errors) => errors.iter().map(|e| format!("{path}: {e}")).collect(),
    }
}

fn client(url: &str, token: Option<String>) -> eyre::Result<Client> {
    let token = token.or_else(|| std::env::var(TOKEN_VARIABLE).ok());
    match token {
        Some(token) => Ok(Client::new(url, token)),
        None => bail!("no token: give --token or set {TOKEN_VARIABLE}"),
    }
}

fn run_call(command: Command) -> eyre::Result<()> {
    match command {
        Command::Manifest(command) => run_manifest(command.action),
        Command::Outcomes(command) => {
            let client = client(&command.url, command.token)?;
            let answer = client.expect("GET", "/operator/v1/outcomes", &[], Vec::new())?;
            show(&answer, command.json, print_outcomes)
        }
        Command::Job(command) => run_job(command.action),
        Command::Worker(command) => {
            let WorkerAction::Drain(drain) = command.action;
            let path = format!("/operator/v1/workers/{}/drain", drain.name);
            let client = client(&drain.url, drain.token)?;
            let answer = client.expect("POST", &path, &[], Vec::new())?;
            println!("{}", answer.text);
            Ok(())
        }
        Command::RollForward(command) => {
            let client = client(&command.url, command.token)?;
            let answer = client.expect("POST", "/operator/v1/roll-forward", &[], Vec::new())?;
            println!("{}", answer.text);
            Ok(())
        }
        Command::Serve(_)
        | Command::Gateway(_)
        | Command::Idle(_)
        | Command::Explain(_)
        | Command::Check(_) => {
            unreachable!("run without a daemon")
        }
    }
}

fn show(answer: &Answer, json: bool, print: impl FnOnce(&Value)) -> eyre::Result<()> {
    if json {
        println!("{}", answer.text);
        return Ok(());
    }
    let value = serde_json::from_str(&answer.text).wrap_err("an answer that is not JSON")?;
    print(&value);
    Ok(())
}

fn run_manifest(action: ManifestAction) -> eyre::Result<()> {
    match action {
        ManifestAction::Get(get) => {
            let client = client(&get.url, get.token)?;
            let answer = client.expect("GET", "/operator/v1/manifest", &[], Vec::new())?;
            eprintln!("generation {}", answer.tag.unwrap_or_default());
            print!("{}", answer.text);
            Ok(())
        }
        ManifestAction::Put(put) => {
            let body = std::fs::read(&put.file).wrap_err_with(|| put.file.clone())?;
            let seen = put.generation.to_string();
            let headers = [("If-Match", seen.as_str())];
            let client = client(&put.url, put.token)?;
            let answer = client.expect("PUT", "/operator/v1/manifest", &headers, body)?;
            println!("accepted as generation {}", answer.tag.unwrap_or_default());
            Ok(())
        }
    }
}

fn run_job(action: JobAction) -> eyre::Result<()> {
    match action {
        JobAction::Submit(submit) => {
            let body = std::fs::read(&submit.file).wrap_err_with(|| submit.file.clone())?;
            let mut headers = vec![("Idempotency-Key", submit.key.as_str())];
            if let Some(deadline) = &submit.deadline {
                headers.push(("Bluebellreel-Deadline", deadline));
            }
            let client = client(&submit.url, submit.token)?;
            let answer = client.expect("POST", "/v1/batches", &headers, body)?;
            show(&answer, submit.json, print_job)
        }
        JobAction::Show(job) => {
            let client = client(&job.url, job.token)?;
            let path = format!("/v1/batches/{}", job.id);
            let answer = client.expect("GET", &path, &[], Vec::new())?;
            show(&answer, job.json, print_job)
        }
        JobAction::Results(job) => {
            let client = client(&job.url, job.token)?;
            let path = format!("/v1/batches/{}/results", job.id);
            let answer = client.expect("GET", &path, &[], Vec::new())?;
            print!("{}", answer.text);
            Ok(())
        }
        JobAction::Cancel(cancel) => {
            let client = client(&cancel.url, cancel.token)?;
            let path = if cancel.operator {
                format!("/operator/v1/jobs/{}/cancel", cancel.id)
            } else {
                format!("/v1/batches/{}/cancel", cancel.id)
            };
            let answer = client.expect("POST", &path, &[], Vec::new())?;
            show(&answer, cancel.json, print_job)
        }
    }
}
