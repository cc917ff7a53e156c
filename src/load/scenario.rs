//! A scenario, read from an INI file.
//!
//! ```ini
//! [load]
//! targets = 127.0.0.1:8080, 127.0.0.1:8090   ; callers' ports of the routers
//! metrics = 127.0.0.1:8082, 127.0.0.1:8092   ; their metrics pages
//! seconds = 10
//! seed = 1
//!
//! [workspace alpha]
//! service = assist
//! key = demo-key-alpha      ; or none, where the routers trust the workspace header
//! clients = 8               ; concurrent requests
//! rate = 20                 ; optional: requests a second over all clients instead
//! tokens = 20 60            ; least and most tokens requested
//! class = urgent            ; optional
//! routers = 0 1             ; optional: only these of the targets
//! weight = 2                ; as configured, for the fairness gap
//! ```

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use ini::Ini;
use ini::Properties;

/// Most clients of all workspaces together; each occupies a thread.
const CLIENTS_MAX: usize = 1000;

/// Longest run.
const SECONDS_MAX: u64 = 600;

/// Why a scenario is invalid.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file can't be read or isn't INI.
    #[error("{0}: {1}")]
    File(String, String),
    /// A value is missing or invalid.
    #[error("{path}: [{section}] {key}: {reason}")]
    Key { path: String, section: String, key: &'static str, reason: String },
}

/// The traffic to send.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Callers' ports of the routers.
    pub targets: Vec<SocketAddr>,
    /// Metrics pages of the routers.
    pub metrics: Vec<SocketAddr>,
    /// How long to send requests.
    pub duration: Duration,
    /// Seed of all random numbers.
    pub seed: u64,
    /// The workspaces that send requests.
    pub workspaces: Vec<WorkspaceTraffic>,
}

/// The traffic of one workspace.
#[derive(Clone, Debug)]
pub struct WorkspaceTraffic {
    /// The name of the workspace.
    pub name: String,
    /// The service that it requests.
    pub service: String,
    /// Its API key, if the routers require one.
    pub key: Option<String>,
    /// Concurrent requests.
    pub clients: usize,
    /// Requests a second over all clients; without it each client sends as soon as its last request
    /// has ended.
    pub rate: Option<f64>,
    /// Least and most tokens requested.
    pub tokens: (u64, u64),
    /// Value of the class header.
    pub class: Option<String>,
    /// Indices of the targets that it uses; all if empty.
    pub routers: Vec<usize>,
    /// Its weight.
    pub weight: f64,
}

/// Reads a scenario.
pub fn read(path: &Path) -> Result<Scenario, Error> {
    let name = path.display().to_string();
    let ini = Ini::load_from_file(path).map_err(|e| Error::File(name.clone(), e.to_string()))?;
    let rdr = Reader { path: name };
    let load = ini.section(Some("load")).cloned().unwrap_or_default();
    let targets = rdr.list(&load, "load", "targets", ',')?;
    if targets.is_empty() {
        return Err(rdr.error("load", "targets", "names no router"));
    }
    let seconds = rdr.value(&load, "load", "seconds")?.unwrap_or(10);
    if SECONDS_MAX < seconds {
        return Err(rdr.error("load", "seconds", "must be at most 600"));
    }
    let mut workspaces = Vec::new();
    for (section, keys) in ini.iter() {
        if let Some(name) = section.and_then(|s| s.strip_prefix("workspace ")) {
            workspaces.push(rdr.workspace(name, keys)?);
        }
    }
    if CLIENTS_MAX < workspaces.iter().map(|w| w.clients).sum() {
        return Err(rdr.error("load", "clients", "must be at most 1000 in all"));
    }
    Ok(Scenario {
        metrics: rdr.list(&load, "load", "metrics", ',')?,
        targets,
        duration: Duration::from_secs(seconds),
        seed: rdr.value(&load, "load", "seed")?.unwrap_or(1),
        workspaces,
    })
}

struct Reader {
    path: String,
}

impl Reader {
    fn workspace(&self, name: &str, keys: &Properties) -> Result<WorkspaceTraffic, Error> {
        let service: Option<String> = self.value(keys, name, "service")?;
        let tokens: Vec<u64> = self.list(keys, name, "tokens", ' ')?;
        Ok(WorkspaceTraffic {
            name: name.to_owned(),
            service: service.ok_or_else(|| self.error(name, "service", "is missing"))?,
            key: self.value(keys, name, "key")?,
            clients: self.value(keys, name, "clients")?.unwrap_or(1),
            rate: self.value(keys, name, "rate")?,
            tokens: match tokens[..] {
                [] => (16, 16),
                [n] => (n, n),
                [min, max, ..] => (min, max.max(min)),
            },
            class: self.value(keys, name, "class")?,
            routers: self.list(keys, name, "routers", ' ')?,
            weight: self.value(keys, name, "weight")?.unwrap_or(1.0),
        })
    }

    fn list<T: std::str::FromStr>(
        &self,
        keys: &Properties,
        section: &str,
        key: &'static str,
        separator: char,
    ) -> Result<Vec<T>, Error> {
        let words = keys.get(key).unwrap_or("").split(separator).map(str::trim);
        let parse = |w: &str| w.parse().map_err(|_| self.error(section, key, w));
        words.filter(|w| !w.is_empty()).map(parse).collect()
    }

    fn value<T: std::str::FromStr>(
        &self,
        keys: &Properties,
        section: &str,
        key: &'static str,
    ) -> Result<Option<T>, Error> {
        let parse = |w: &str| w.parse().map_err(|_| self.error(section, key, w));
        keys.get(key).map(parse).transpose()
    }

    fn error(&self, section: &str, key: &'static str, reason: &str) -> Error {
        let (path, section) = (self.path.clone(), section.to_owned());
        Error::Key { path, section, key, reason: reason.to_owned() }
    }
}
