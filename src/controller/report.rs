//! What the controller of a zone tells operators, in one object of the platform.

use serde::Deserialize;
use serde::Serialize;

use crate::config::EngineState;
use crate::controller::lease::Fence;
use crate::controller::rollout::Stage;
use crate::names::BoxName;
use crate::names::UpstreamName;
use crate::names::ZoneName;
use crate::platform::Error;
use crate::platform::ObjectStore;

/// The engines of one zone, as its controller saw them last.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Which zone.
    pub zone: ZoneName,
    /// The box whose controller acts.
    pub holder: BoxName,
    /// Its fence.
    pub fence: Fence,
    /// The configuration it goes by.
    pub revision: u64,
    /// The engines that the configuration wants something of.
    pub engines: Vec<EngineReport>,
}

/// One engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Which.
    pub upstream: UpstreamName,
    /// Where it stands on its way to what is wanted.
    pub stage: Stage,
    /// What it has loaded, if it answers.
    pub state: Option<EngineState>,
    /// Requests that run there.
    pub running: u32,
    /// Why it didn't do what it was ordered last, if it didn't.
    pub error: Option<String>,
}

/// The object that holds a zone's report.
pub fn object(zone: &ZoneName) -> String {
    format!("frostdyke/engines/{zone}")
}

/// Reads a zone's report; nothing where none was written.
pub fn read(objects: &dyn ObjectStore, zone: &ZoneName) -> Result<Option<Report>, Error> {
    let Some(object) = objects.get(&object(zone))? else { return Ok(None) };
    let report = serde_json::from_slice(&object.value);
    report.map(Some).map_err(|e| Error::Unexpected(e.to_string()))
}

/// Writes reports when they change, with as few calls as that takes.
#[derive(Debug, Default)]
pub struct Writer {
    last: Option<Report>,
    version: Option<u64>,
}

impl Writer {
    /// Writes a report unless it is the one written last. A failure is made up for next time.
    pub fn write(&mut self, objects: &dyn ObjectStore, report: Report) {
        if self.last.as_ref() == Some(&report) {
            return;
        }
        let name = object(&report.zone);
        let expected = match self.version {
            Some(version) => version,
            None => match objects.get(&name) {
                Ok(object) => object.map_or(0, |o| o.version),
                Err(_) => return,
            },
        };
        let value = serde_json::to_vec(&report).expect("reports serialize");
        // Whatever went wrong, the version is read again: another holder may have written.
        self.version = objects.put(&name, &value, expected).ok();
        self.last = self.version.map(|_| report);
    }
}
