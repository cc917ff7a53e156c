//! Settings of a process, read from an INI file. All faults are reported at once, each with its
//! file, section and key.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use ini::Ini;

use crate::names::BoxName;
use crate::names::ZoneName;
use crate::peer::member::ListedBox;

/// Why a settings file is invalid.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file can't be read or isn't valid INI.
    #[error("{}: {reason}", path.display())]
    File { path: PathBuf, reason: String },
    /// These keys are missing, unknown or invalid.
    #[error("{}", join_lines(.0))]
    Keys(Vec<KeyFault>),
}

/// A fault of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyFault {
    pub path: PathBuf,
    /// The section of the key.
    pub section: String,
    /// The key; empty if the section itself is invalid.
    pub key: String,
    /// Why it is invalid.
    pub reason: String,
}

impl fmt::Display for KeyFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: [{}] {}: {}", self.path.display(), self.section, self.key, self.reason)
    }
}

/// Settings of `frostdyke-router`.
#[derive(Clone, Debug)]
pub struct Router {
    /// `[box]`: name and zone of this box.
    pub identity: Identity,
    /// `[listen] callers`: listening address for callers.
    pub callers: SocketAddr,
    /// `[listen] peers`: listening address for other routers.
    pub peers: SocketAddr,
    /// `[listen] metrics`: listening address of the metrics page.
    pub metrics: SocketAddr,
    /// `[platform] address`: address of the platform's API.
    pub platform: SocketAddr,
    /// `[peers] secret-file`: the secret by which routers authenticate to each other.
    pub secret: Secret,
    /// `[peers] seeds`: boxes known before the platform responds.
    pub seeds: Vec<ListedBox>,
    /// `[callers]`: limits of the callers' port.
    pub limits: Limits,
    /// `[log]`.
    pub log: Log,
}

/// Settings of `frostdyke-operator`.
#[derive(Clone, Debug)]
pub struct Operator {
    /// `[box]`: name and zone of this box.
    pub identity: Identity,
    /// `[listen] operators`: listening address for operators.
    pub operators: SocketAddr,
    /// `[platform] address`: address of the platform's API.
    pub platform: SocketAddr,
    /// `[peers] secret-file`: the secret by which this process authenticates to routers.
    pub secret: Secret,
    /// `[peers] seeds`: boxes known before the platform responds.
    pub seeds: Vec<ListedBox>,
    /// `[operators] tokens-file`: lines of `NAME SHA-256-OF-TOKEN`.
    pub tokens: Vec<OperatorToken>,
    /// `[log]`.
    pub log: Log,
}

/// Settings of `frostdyke-controller`.
#[derive(Clone, Debug)]
pub struct Controller {
    /// `[box]`: name and zone of this box.
    pub identity: Identity,
    /// `[listen] metrics`: listening address of the metrics page.
    pub metrics: SocketAddr,
    /// `[platform] address`: address of the platform's API.
    pub platform: SocketAddr,
    /// `[log]`.
    pub log: Log,
}

/// An operator, and the digest of the token that authenticates them.
#[derive(Clone, Debug)]
pub struct OperatorToken {
    /// The operator's name, which is recorded with the plans that they confirm.
    pub name: String,
    /// SHA-256 of the token.
    pub digest: [u8; 32],
}

/// The box that a process runs on.
#[derive(Clone, Debug)]
pub struct Identity {
    /// `name`: unique name of the box.
    pub name: BoxName,
    /// `zone`: its availability zone.
    pub zone: ZoneName,
}

/// Limits of the callers' port. Each has a default.
#[derive(Clone, Debug)]
pub struct Limits {
    /// `trust-workspace-header`: take the workspace from `Frostdyke-Workspace` instead of a key.
    pub trust_workspace_header: bool,
    /// `max-body-bytes`.
    pub max_body_bytes: usize,
    /// `max-header-bytes`.
    pub max_header_bytes: usize,
    /// `max-connections`.
    pub max_connections: usize,
    /// `max-running`: concurrent requests of all workspaces at upstreams. Each occupies a thread.
    pub max_running: usize,
    /// `default-deadline-ms`: deadline of requests that specify none.
    pub default_deadline: Duration,
    /// `head-timeout-ms`: how long a caller may take to send a request's head, and again its body.
    pub head_timeout: Duration,
    /// `idle-timeout-ms`: the attempt fails when its upstream sends nothing for this long.
    pub idle_timeout: Duration,
}

/// Settings of the log.
#[derive(Clone, Debug)]
pub struct Log {
    /// `format`: `json` or `terminal`.
    pub format: LogFormat,
    /// `level`: `error`, `warning`, `info` or `debug`.
    pub level: slog::Level,
}

/// The format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Text for a terminal.
    Terminal,
}

impl FromStr for LogFormat {
    type Err = &'static str;

    fn from_str(s: &str) -> Result<LogFormat, &'static str> {
        match s {
            "json" => Ok(LogFormat::Json),
            "terminal" => Ok(LogFormat::Terminal),
            _ => Err("must be json or terminal"),
        }
    }
}

/// A secret whose `Debug` output doesn't show it.
#[derive(Clone)]
pub struct Secret(String);

impl Secret {
    /// The secret itself.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl From<&str> for Secret {
    fn from(s: &str) -> Secret {
        Secret(s.to_owned())
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret")
    }
}

/// Reads the settings of `frostdyke-router`.
pub fn read_router(path: &Path) -> Result<Router, Error> {
    let mut reader = Reader::open(path)?;
    let settings = Router {
        identity: reader.identity(),
        callers: reader.address("listen", "callers"),
        peers: reader.address("listen", "peers"),
        metrics: reader.address("listen", "metrics"),
        platform: reader.address("platform", "address"),
        secret: reader.secret("peers", "secret-file"),
        seeds: reader.seeds(),
        limits: reader.limits(),
        log: reader.log(),
    };
    reader.finish(settings)
}

/// Reads the settings of `frostdyke-operator`.
pub fn read_operator(path: &Path) -> Result<Operator, Error> {
    let mut reader = Reader::open(path)?;
    let settings = Operator {
        identity: reader.identity(),
        operators: reader.address("listen", "operators"),
        platform: reader.address("platform", "address"),
        secret: reader.secret("peers", "secret-file"),
        seeds: reader.seeds(),
        tokens: reader.tokens("operators", "tokens-file"),
        log: reader.log(),
    };
    reader.finish(settings)
}

/// Reads the settings of `frostdyke-controller`.
pub fn read_controller(path: &Path) -> Result<Controller, Error> {
    let mut reader = Reader::open(path)?;
    let settings = Controller {
        identity: reader.identity(),
        metrics: reader.address("listen", "metrics"),
        platform: reader.address("platform", "address"),
        log: reader.log(),
    };
    reader.finish(settings)
}

/// Reads typed values and collects their faults.
pub(crate) struct Reader {
    path: PathBuf,
    ini: Ini,
    used: BTreeSet<(String, String)>,
    faults: Vec<KeyFault>,
}

impl Reader {
    pub(crate) fn open(path: &Path) -> Result<Reader, Error> {
        let path = path.to_owned();
        match Ini::load_from_file(&path) {
            Ok(ini) => Ok(Reader { path, ini, used: BTreeSet::new(), faults: Vec::new() }),
            Err(e) => Err(Error::File { path, reason: e.to_string() }),
        }
    }

    pub(crate) fn finish<T>(mut self, settings: T) -> Result<T, Error> {
        self.add_unknown_keys();
        if self.faults.is_empty() {
            return Ok(settings);
        }
        Err(Error::Keys(self.faults))
    }

    fn add_unknown_keys(&mut self) {
        let mut unknown = Vec::new();
        for (section, keys) in self.ini.iter() {
            let section = section.unwrap_or("");
            for (key, _) in keys.iter() {
                let section_and_key = (section.to_owned(), key.to_owned());
                if !self.used.contains(&section_and_key) {
                    unknown.push(section_and_key);
                }
            }
        }
        for (section, key) in unknown {
            self.fault(&section, &key, "unknown key");
        }
    }

    pub(crate) fn identity(&mut self) -> Identity {
        let name: String = self.required("box", "name", "box".to_owned());
        let zone: String = self.required("box", "zone", "zone".to_owned());
        Identity { name: BoxName::from(&*name), zone: ZoneName::from(&*zone) }
    }

    pub(crate) fn address(&mut self, section: &str, key: &str) -> SocketAddr {
        self.required(section, key, SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    fn limits(&mut self) -> Limits {
        let millis = Duration::from_millis;
        Limits {
            trust_workspace_header: self.optional("callers", "trust-workspace-header", false),
            max_body_bytes: self.optional("callers", "max-body-bytes", 1 << 20),
            max_header_bytes: self.optional("callers", "max-header-bytes", 16 << 10),
            max_connections: self.optional("callers", "max-connections", 4096),
            max_running: self.optional("callers", "max-running", 1024),
            default_deadline: millis(self.optional("callers", "default-deadline-ms", 120_000)),
            head_timeout: millis(self.optional("callers", "head-timeout-ms", 10_000)),
            idle_timeout: millis(self.optional("callers", "idle-timeout-ms", 60_000)),
        }
    }

    pub(crate) fn log(&mut self) -> Log {
        let level: String = self.optional("log", "level", "info".to_owned());
        let level = slog::Level::from_str(&level).unwrap_or_else(|()| {
            self.fault("log", "level", "must be error, warning, info or debug");
            slog::Level::Info
        });
        Log { format: self.optional("log", "format", LogFormat::Json), level }
    }

    /// `seeds = NAME ZONE IP:PORT, NAME ZONE IP:PORT, …`
    fn seeds(&mut self) -> Vec<ListedBox> {
        let text: String = self.optional("peers", "seeds", String::new());
        let mut seeds = Vec::new();
        for seed in text.split(',').map(str::trim).filter(|s| !s.is_empty()) {
            match parse_seed(seed) {
                Some(listed) => seeds.push(listed),
                None => self.fault("peers", "seeds", "must be NAME ZONE IP:PORT, separated by ','"),
            }
        }
        seeds
    }

    fn secret(&mut self, section: &str, key: &str) -> Secret {
        let text = self.read_file(section, key);
        if text.trim().is_empty() {
            self.fault(section, key, "the file must contain a secret");
        }
        Secret(text.trim().to_owned())
    }

    fn tokens(&mut self, section: &str, key: &str) -> Vec<OperatorToken> {
        let text = self.read_file(section, key);
        let mut tokens = Vec::new();
        for line in text.lines().map(str::trim).filter(|l| !l.is_empty()) {
            match parse_token(line) {
                Some(token) => tokens.push(token),
                None => self.fault(section, key, "lines must be NAME SHA-256-OF-TOKEN"),
            }
        }
        tokens
    }

    /// Reads the file that a key names. Its path is relative to the settings file.
    fn read_file(&mut self, section: &str, key: &str) -> String {
        let name: String = self.required(section, key, String::new());
        let path = self.path.parent().unwrap_or(Path::new(".")).join(name);
        std::fs::read_to_string(path).unwrap_or_else(|e| {
            self.fault(section, key, &format!("the file can't be read: {e}"));
            String::new()
        })
    }

    pub(crate) fn required<T>(&mut self, section: &str, key: &str, placeholder: T) -> T
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        if self.value(section, key).is_none() {
            self.fault(section, key, "is missing");
            return placeholder;
        }
        self.optional(section, key, placeholder)
    }

    pub(crate) fn optional<T>(&mut self, section: &str, key: &str, default: T) -> T
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let Some(text) = self.value(section, key) else { return default };
        text.parse().unwrap_or_else(|e| {
            self.fault(section, key, &format!("'{text}': {e}"));
            default
        })
    }

    fn value(&mut self, section: &str, key: &str) -> Option<String> {
        self.used.insert((section.to_owned(), key.to_owned()));
        self.ini.get_from(Some(section), key).map(str::to_owned)
    }

    pub(crate) fn fault(&mut self, section: &str, key: &str, reason: &str) {
        self.faults.push(KeyFault {
            path: self.path.clone(),
            section: section.to_owned(),
            key: key.to_owned(),
            reason: reason.to_owned(),
        });
    }
}

fn parse_seed(text: &str) -> Option<ListedBox> {
    let mut words = text.split_whitespace();
    let listed = ListedBox {
        name: BoxName::from(words.next()?),
        zone: ZoneName::from(words.next()?),
        peer: words.next()?.parse().ok()?,
        leaving: false,
    };
    words.next().is_none().then_some(listed)
}

fn parse_token(line: &str) -> Option<OperatorToken> {
    let (name, digest) = line.split_once(char::is_whitespace)?;
    let mut bytes = [0; 32];
    hex::decode_to_slice(digest.trim(), &mut bytes).ok()?;
    Some(OperatorToken { name: name.to_owned(), digest: bytes })
}

fn join_lines(faults: &[KeyFault]) -> String {
    faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}
