//! Parsing and validation of the manifest.

use bluebellreel_types::{DataCentre, ModelName, TeamName, WorkKind, WorkerName};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

/// Maximum number of replicas of a model in one data centre.
const MAX_REPLICAS: u32 = 4_000;

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawManifest {
    #[serde(default)]
    models: Vec<RawModel>,
    #[serde(default)]
    services: Vec<RawService>,
    #[serde(default)]
    teams: Vec<RawTeam>,
    #[serde(default)]
    unfenced_workers: Vec<String>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawModel {
    name: String,
    version: String,
    #[serde(default)]
    adapters: Vec<String>,
    #[serde(default)]
    replicas: BTreeMap<String, u32>,
    #[serde(default)]
    role: Option<String>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawService {
    name: String,
    #[serde(default)]
    repeatable: Vec<String>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawTeam {
    name: String,
    #[serde(default)]
    online_requests: Option<usize>,
}

/// One error in a manifest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ManifestError {
    /// Path of the key in error.
    pub key: String,
    /// What is wrong with it.
    pub reason: String,
}

impl fmt::Display for ManifestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.reason)
    }
}

/// A model that the fleet has to serve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelSpec {
    /// The model's name, as callers give it.
    pub name: ModelName,
    /// The version to serve.
    pub version: Arc<str>,
    /// Adapters to load with the model.
    pub adapters: Vec<Arc<str>>,
    /// Number of workers that serve the model, by data centre.
    pub replicas: BTreeMap<DataCentre, u32>,
    /// The role of the workers that serve it, if not the engine's default.
    pub role: Option<Arc<str>>,
}

/// A call to a plain service that may be repeated.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RepeatableCall {
    /// HTTP method.
    pub method: Arc<str>,
    /// Prefix of the path.
    pub path: Arc<str>,
}

/// A plain service that bluebellreel routes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSpec {
    /// The service's name.
    pub name: ModelName,
    /// The calls that may be repeated; all others run at most once.
    pub repeatable: BTreeSet<RepeatableCall>,
}

/// A team's limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamSpec {
    /// The team.
    pub name: TeamName,
    /// Maximum number of online requests in progress at each entry daemon.
    pub online_requests: Option<usize>,
}

/// A validated manifest.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Manifest {
    /// Models.
    pub models: Vec<ModelSpec>,
    /// Plain services.
    pub services: Vec<ServiceSpec>,
    /// Teams with individual limits.
    pub teams: Vec<TeamSpec>,
    /// Workers whose backend servers do not check fencing numbers.
    pub unfenced_workers: BTreeSet<WorkerName>,
}

impl Manifest {
    /// Whether a call may be repeated. A call to a plain service may be repeated only
    /// if the manifest lists it for that service.
    #[must_use]
    pub fn is_repeatable(&self, service: &ModelName, kind: &WorkKind) -> bool {
        let WorkKind::Call { method, path } = kind else {
            return true;
        };
        self.services
            .iter()
            .filter(|spec| spec.name == *service)
            .flat_map(|spec| &spec.repeatable)
            .any(|call| call.method == *method && path.starts_with(&*call.path))
    }

    /// The model with this name.
    #[must_use]
    pub fn model(&self, name: &ModelName) -> Option<&ModelSpec> {
        self.models.iter().find(|model| model.name == *name)
    }
}

impl TryFrom<&str> for Manifest {
    type Error = Vec<ManifestError>;

    fn try_from(text: &str) -> Result<Self, Self::Error> {
        let raw: RawManifest = toml::from_str(text).map_err(|e| vec![syntax_error(&e)])?;
        let mut errors = Vec::new();
        let models = check_all("models", &raw.models, |m| &m.name, &mut errors, check_model);
        let services = check_all(
            "services",
            &raw.services,
            |s| &s.name,
            &mut errors,
            check_service,
        );
        let teams = check_all("teams", &raw.teams, |t| &t.name, &mut errors, check_team);
        for service in &services {
            if models.iter().any(|model| model.name == service.name) {
                errors.push(ManifestError {
                    key: format!("services.{}", service.name),
                    reason: "a model has the same name".into(),
                });
            }
        }
        if !errors.is_empty() {
            return Err(errors);
        }
        Ok(Self {
            models,
            services,
            teams,
            unfenced_workers: raw.unfenced_workers.into_iter().map(Into::into).collect(),
        })
    }
}

fn syntax_error(error: &toml::de::Error) -> ManifestError {
    ManifestError {
        key: "manifest".into(),
        reason: error.message().to_owned(),
    }
}

/// Validates every entry of a list and that its names are valid and unique.
fn check_all<Raw, Checked>(
    list: &str,
    raw: &[Raw],
    name_of: impl Fn(&Raw) -> &String,
    errors: &mut Vec<ManifestError>,
    check: impl Fn(&Raw) -> Result<Checked, (String, String)>,
) -> Vec<Checked> {
    let mut seen = BTreeSet::new();
    let mut checked = Vec::new();
    for entry in raw {
        let name = name_of(entry);
        let mut add_error = |field: &str, reason: String| {
            errors.push(ManifestError {
                key: format!("{list}.{name}.{field}"),
                reason,
            });
        };
        if let Err(reason) = check_name(name) {
            add_error("name", reason);
        }
        if !seen.insert(name) {
            add_error("name", "duplicate name".into());
        }
        match check(entry) {
            Ok(entry) => checked.push(entry),
            Err((field, reason)) => add_error(&field, reason),
        }
    }
    checked
}

/// Validates a name. Names are used in paths and in keys of the key-value service.
fn check_name(name: &str) -> Result<(), String> {
    let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if name.is_empty() || name.len() > 128 {
        return Err("must be 1 to 128 characters".into());
    }
    if !name.chars().all(plain) {
        return Err("only letters, digits, '-', '_' and '.'".into());
    }
    Ok(())
}

fn check_model(raw: &RawModel) -> Result<ModelSpec, (String, String)> {
    check_name(&raw.version).map_err(|reason| ("version".to_owned(), reason))?;
    for adapter in &raw.adapters {
        check_name(adapter).map_err(|reason| ("adapters".to_owned(), reason))?;
    }
    for (data_centre, count) in &raw.replicas {
        if *count > MAX_REPLICAS {
            let key = format!("replicas.{data_centre}");
            return Err((key, format!("must be at most {MAX_REPLICAS}")));
        }
    }
    Ok(ModelSpec {
        name: ModelName::from(raw.name.as_str()),
        version: Arc::from(raw.version.as_str()),
        adapters: raw.adapters.iter().map(|a| Arc::from(a.as_str())).collect(),
        replicas: raw
            .replicas
            .iter()
            .map(|(data_centre, count)| (DataCentre::from(data_centre.as_str()), *count))
            .collect(),
        role: raw.role.as_deref().map(Arc::from),
    })
}

fn check_service(raw: &RawService) -> Result<ServiceSpec, (String, String)> {
    let mut repeatable = BTreeSet::new();
    for call in &raw.repeatable {
        let Some((method, path)) = call.split_once(' ') else {
            let reason = format!("{call:?} is not \"METHOD /path\"");
            return Err(("repeatable".into(), reason));
        };
        if !path.starts_with('/') {
            let reason = format!("{call:?}: the path must start with /");
            return Err(("repeatable".into(), reason));
        }
        repeatable.insert(RepeatableCall {
            method: Arc::from(method),
            path: Arc::from(path),
        });
    }
    Ok(ServiceSpec {
        name: ModelName::from(raw.name.as_str()),
        repeatable,
    })
}

fn check_team(raw: &RawTeam) -> Result<TeamSpec, (String, String)> {
    if raw.online_requests == Some(0) {
        return Err(("online_requests".into(), "must be at least 1".into()));
    }
    Ok(TeamSpec {
        name: TeamName::from(raw.name.as_str()),
        online_requests: raw.online_requests,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_error_is_listed_with_its_key() {
        let text = r#"
            [[models]]
            name = "a b"
            version = "1"
            [[models]]
            name = "m"
            version = ""
            [[services]]
            name = "desk"
            repeatable = ["slots"]
        "#;
        let errors = Manifest::try_from(text).unwrap_err();
        let keys: Vec<_> = errors.iter().map(|e| e.key.as_str()).collect();
        assert_eq!(
            keys,
            [
                "models.a b.name",
                "models.m.version",
                "services.desk.repeatable"
            ]
        );
    }

    #[test]
    fn unlisted_calls_may_not_be_repeated() {
        let text = "[[services]]\nname = \"desk\"\nrepeatable = [\"GET /slots\"]\n";
        let manifest = Manifest::try_from(text).expect("valid");
        let call = |method: &str, path: &str| WorkKind::Call {
            method: Arc::from(method),
            path: Arc::from(path),
        };
        let desk = ModelName::from("desk");
        assert!(manifest.is_repeatable(&desk, &call("GET", "/slots/7")));
        assert!(!manifest.is_repeatable(&desk, &call("POST", "/slots")));
        assert!(!manifest.is_repeatable(&ModelName::from("other"), &call("GET", "/slots")));
    }

    #[test]
    fn unknown_key_is_refused() {
        assert!(Manifest::try_from("modles = []").is_err());
    }
}
