//! The report of a zone's controller to operators, in one object of the platform.

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

/// The engines of one zone, as its controller last observed them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The zone.
    pub zone: ZoneName,
    /// The box whose controller holds the lease.
    pub holder: BoxName,
    /// The fence of its lease.
    pub fence: Fence,
    /// The revision of the configuration that it applies.
    pub revision: u64,
    /// The engines that the controller manages.
    pub engines: Vec<EngineReport>,
}

/// The state of one engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// The engine.
    pub upstream: UpstreamName,
    /// Its stage on the way to the configured state.
    pub stage: Stage,
    /// The model that it has loaded, if it responds.
    pub state: Option<EngineState>,
    /// Requests that run there.
    pub running: u32,
    /// Why its last order failed, if it did.
    pub error: Option<String>,
}

/// Returns the name of the object that holds a zone's report.
pub fn object_name(zone: &ZoneName) -> String {
    format!("frostdyke/engines/{zone}")
}

/// Reads a zone's report; `None` if none was written.
pub fn read(objects: &dyn ObjectStore, zone: &ZoneName) -> Result<Option<Report>, Error> {
    let Some(object) = objects.get(&object_name(zone))? else { return Ok(None) };
    let report = serde_json::from_slice(&object.value);
    report.map(Some).map_err(|e| Error::Unexpected(e.to_string()))
}

/// Writes reports when they change, with as few calls as possible.
#[derive(Debug, Default)]
pub struct ReportWriter {
    last: Option<Report>,
    version: Option<u64>,
}

impl ReportWriter {
    /// Writes a report unless it equals the last one written. After a failure the next call writes
    /// again.
    pub fn write(&mut self, objects: &dyn ObjectStore, report: Report) {
        if self.last.as_ref() == Some(&report) {
            return;
        }
        let name = object_name(&report.zone);
        let expected = match self.version {
            Some(version) => version,
            None => match objects.get(&name) {
                Ok(object) => object.map_or(0, |o| o.version),
                Err(_) => return,
            },
        };
        let value = serde_json::to_vec(&report).expect("reports serialize");
        // After any error the version is read again, since another holder may have written.
        self.version = objects.put(&name, &value, expected).ok();
        self.last = self.version.map(|_| report);
    }
}
