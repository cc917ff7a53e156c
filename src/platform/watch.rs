//! Follows the configuration object and the box list, on threads of their own.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::config::CatalogRevision;
use crate::config::Fault;
use crate::config::catalog;
use crate::peer::member::ListedBox;
use crate::platform::BoxList;
use crate::platform::Error;
use crate::platform::Object;
use crate::platform::ObjectStore;

/// How long one watch waits; each counts as a call.
const WATCH_WAIT: Duration = Duration::from_secs(30);

/// First pause after a failed call; doubled while it fails.
const PAUSE_FIRST: Duration = Duration::from_millis(100);

/// Longest pause after a failed call.
const PAUSE_MAX: Duration = Duration::from_secs(5);

/// How often the box list is read.
const BOXES_EVERY: Duration = Duration::from_secs(2);

/// What following the platform brings.
#[derive(Debug)]
pub enum PlatformUpdate {
    /// A configuration, valid or not.
    Configuration { version: u64, revision: Box<Result<CatalogRevision, Vec<Fault>>> },
    /// The box list.
    Boxes(Vec<ListedBox>),
    /// A call failed that had worked before, or the other way round.
    Reachability(Option<Error>),
}

/// Follows the configuration object; calls `tell` with each new version.
pub fn watch_configuration(
    objects: Arc<dyn ObjectStore>,
    tell: impl Fn(PlatformUpdate) + Send + 'static,
) {
    thread::spawn(move || {
        let mut after = 0;
        let mut pause = Pause::default();
        loop {
            let watched = objects.watch(catalog::CONFIGURATION_OBJECT, after, WATCH_WAIT);
            pause.note(watched.as_ref().err(), &tell);
            if let Ok(Some(object)) = watched {
                after = object.version;
                tell(PlatformUpdate::Configuration {
                    version: after,
                    revision: Box::new(parse(&object)),
                });
            }
        }
    });
}

/// Follows the box list.
pub fn poll_boxes(boxes: Arc<dyn BoxList>, tell: impl Fn(PlatformUpdate) + Send + 'static) {
    thread::spawn(move || {
        loop {
            if let Ok(list) = boxes.boxes() {
                tell(PlatformUpdate::Boxes(list));
            }
            thread::sleep(BOXES_EVERY);
        }
    });
}

/// Reads a configuration out of its object.
pub fn parse(object: &Object) -> Result<CatalogRevision, Vec<Fault>> {
    let catalog = serde_json::from_slice(&object.value).map_err(|e| {
        let field = format!("line {} column {}", e.line(), e.column());
        vec![Fault { field, reason: e.to_string() }]
    })?;
    CatalogRevision::new(object.version, catalog)
}

/// Waits longer and longer while calls fail.
#[derive(Default)]
struct Pause {
    next: Option<Duration>,
}

impl Pause {
    fn note(&mut self, error: Option<&Error>, tell: &impl Fn(PlatformUpdate)) {
        let Some(error) = error else {
            if self.next.take().is_some() {
                tell(PlatformUpdate::Reachability(None));
            }
            return;
        };
        if self.next.is_none() {
            tell(PlatformUpdate::Reachability(Some(error.clone())));
        }
        let pause = self.next.unwrap_or(PAUSE_FIRST);
        thread::sleep(pause);
        self.next = Some((pause * 2).min(PAUSE_MAX));
    }
}
