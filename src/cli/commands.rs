//! Subcommands.

use crate::cli::arguments::{
    Arguments, Check, Command, Explain, JobAction, ManifestAction, Serve, WorkerAction,
};
use crate::cli::client::{Answer, Client};
use crate::cli::explain::{self, LogLine};
use crate::cli::gateway;
use crate::cli::output::{print_job, print_outcomes};
use crate::program::{Running, run_program};
use bluebellreel_entry::start_entry;
use bluebellreel_fleet::Manifest;
use bluebellreel_settings::{load_entry, load_gateway, load_keeper, load_side};
use eyre::{Context, bail};
use serde_json::Value;
use std::process::ExitCode;

/// Exit code for invalid input.
const BAD_INPUT: u8 = 2;
/// Exit code of a command that failed.
const FAILED: u8 = 1;
/// Environment variable with the token to use if `--token` is not given.
const TOKEN_VARIABLE: &str = "BLUEBELLREEL_TOKEN";

/// Runs the command.
#[must_use]
pub fn run(arguments: Arguments) -> ExitCode {
    match arguments.command {
        Command::Serve(serve) => run_serve(&serve),
        Command::Gateway(command) => gateway::gateway(command.settings),
        Command::Keeper(command) => gateway::keeper(command.settings),
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
    let timeline = explain::explain(&explain.id, &lines);
    if timeline.is_empty() {
        eprintln!("no log line mentions {}", explain.id);
        return ExitCode::from(FAILED);
    }
    print!("{timeline}");
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
    if let Some(path) = &check.gateway {
        errors.extend(load_gateway(path).err().map(|e| e.to_string()));
    }
    if let Some(path) = &check.keeper {
        errors.extend(load_keeper(path).err().map(|e| e.to_string()));
    }
    if let Some(path) = &check.manifest {
        errors.extend(manifest_errors(path));
    }
    let names = [&check.entry, &check.side, &check.manifest];
    let paths = [&check.gateway, &check.keeper];
    if paths.iter().all(|p| p.is_none()) && names.iter().all(|n| n.is_none()) {
        let options = "--entry, --side, --gateway, --keeper or --manifest";
        errors.push(format!("nothing to check: give {options}"));
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
        | Command::Keeper(_)
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
    let value = serde_json::from_str(&answer.text).wrap_err("the response is not JSON")?;
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
            let expected = put.generation.to_string();
            let headers = [("If-Match", expected.as_str())];
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
