//! Watches the configuration object and polls the box list, each on its own thread.

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

/// How long one watch waits. Each counts as a call.
const WATCH_WAIT: Duration = Duration::from_secs(30);

/// Pause after the first failed call. It doubles with each further failure.
const RETRY_PAUSE_FIRST: Duration = Duration::from_millis(100);

/// Longest pause after a failed call.
const RETRY_PAUSE_MAX: Duration = Duration::from_secs(5);

/// Interval between reads of the box list.
const BOX_LIST_INTERVAL: Duration = Duration::from_secs(2);

/// An update from the platform.
#[derive(Debug)]
pub enum PlatformUpdate {
    /// A version of the configuration, or why it is invalid.
    Configuration { version: u64, revision: Box<Result<CatalogRevision, Vec<Fault>>> },
    /// The box list.
    Boxes(Vec<ListedBox>),
    /// Calls started to fail, with the error of the first, or succeed again.
    Reachability(Option<Error>),
}

/// Watches the configuration object. Calls `notify` with each new version.
pub fn watch_configuration(
    objects: Arc<dyn ObjectStore>,
    notify: impl Fn(PlatformUpdate) + Send + 'static,
) {
    thread::spawn(move || {
        let mut after = 0;
        let mut backoff = Backoff::default();
        loop {
            let watched = objects.watch(catalog::CONFIGURATION_OBJECT, after, WATCH_WAIT);
            backoff.after_call(watched.as_ref().err(), &notify);
            if let Ok(Some(object)) = watched {
                after = object.version;
                notify(PlatformUpdate::Configuration {
                    version: after,
                    revision: Box::new(parse(&object)),
                });
            }
        }
    });
}

/// Polls the box list. Calls `notify` with each list.
pub fn poll_boxes(boxes: Arc<dyn BoxList>, notify: impl Fn(PlatformUpdate) + Send + 'static) {
    thread::spawn(move || {
        loop {
            if let Ok(list) = boxes.boxes() {
                notify(PlatformUpdate::Boxes(list));
            }
            thread::sleep(BOX_LIST_INTERVAL);
        }
    });
}

/// Parses the value of the configuration object.
pub fn parse(object: &Object) -> Result<CatalogRevision, Vec<Fault>> {
    let catalog = serde_json::from_slice(&object.value).map_err(|e| {
        let field = format!("line {} column {}", e.line(), e.column());
        vec![Fault { field, reason: e.to_string() }]
    })?;
    CatalogRevision::new(object.version, catalog)
}

/// Pauses after failed calls, for longer with each consecutive failure.
#[derive(Default)]
struct Backoff {
    /// The next pause; `None` after a successful call.
    next: Option<Duration>,
}

impl Backoff {
    fn after_call(&mut self, error: Option<&Error>, notify: &impl Fn(PlatformUpdate)) {
        let Some(error) = error else {
            if self.next.take().is_some() {
                notify(PlatformUpdate::Reachability(None));
            }
            return;
        };
        if self.next.is_none() {
            notify(PlatformUpdate::Reachability(Some(error.clone())));
        }
        let pause = self.next.unwrap_or(RETRY_PAUSE_FIRST);
        thread::sleep(pause);
        self.next = Some((pause * 2).min(RETRY_PAUSE_MAX));
    }
}
