//! Which version of a service's software must serve a request: the one that began its stream, in
//! this attempt of the caller or in an earlier one.

use std::time::Duration;

use slog::info;

use crate::fleet::rollout::VersionFilter;
use crate::fleet::stream_versions::StreamId;
use crate::fleet::stream_versions::StreamRecord;
use crate::fleet::stream_versions::VersionId;
use crate::names::VersionName;
use crate::proxy::event_id::EventId;
use crate::proxy::placed_request::PlacedRequest;
use crate::proxy::refusal::Refusal;
use crate::proxy::request::RequestContext;
use crate::proxy::store_confirmation;
use crate::proxy::stream_versions;
use crate::proxy::stream_versions::Finding;

/// A caller may return this long after the time for which it waits, since clocks and the network
/// aren't exact.
const RETURN_SLACK: Duration = Duration::from_secs(5);

/// The store may confirm which versions are in use this long after it didn't.
const CONFIRMATION_RETRY: Duration = Duration::from_millis(500);

/// Which version of the service's software must serve a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequiredVersion {
    /// Any: no part of the response has been passed on.
    Any,
    /// The one that began the response.
    Only(VersionName),
    /// The one that began the response, which isn't known, so that nothing more can be sent.
    Unknown,
}

/// An upstream has another version than the one that began the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OtherVersion;

impl RequestContext {
    /// Finds out which version began the stream that the caller resumes.
    pub(super) async fn find_required_version(&mut self) -> Result<(), Refusal> {
        let (hub, service) = (&self.hub, &self.service);
        let finding = stream_versions::find(hub, self.stream_id(), service).await;
        let Finding { version, source, .. } = finding;
        let name = version.and_then(|version| {
            hub.read(|view| {
                let mut versions = view.registry().versions(service);
                versions.find(|name| VersionId::new(service, name) == version).cloned()
            })
        });
        info!(hub.log(), "stream taken up"; "id" => &self.head.id,
            "resumes" => self.head.first_attempt.as_deref(),
            "after" => self.head.resume_after.as_ref().map(EventId::to_string),
            "source" => source.code(), "asked" => finding.asked, "replied" => finding.replied,
            "complete" => finding.complete, "confirmed" => finding.is_confirmed,
            "list_changed_ms" => finding.list_changed_ago.map(|ago| ago.as_millis() as u64),
            "began_at_version" => name.as_ref().map(VersionName::as_str));
        hub.metrics().stream_version_found(source);
        if version.is_none() {
            let next_read = store_confirmation::interval(hub.peers().known_count());
            let confirmed_in =
                finding.may_be_known_later.then_some(CONFIRMATION_RETRY.max(next_read));
            let retry_after = hub.stream_versions().loaded_in().or(confirmed_in);
            return Err(Refusal::VersionUnknown { retry_after });
        }
        let is_withdrawn =
            |name: &VersionName| hub.rollouts().is_withdrawn(service, name, hub.now());
        let name = name.filter(|name| !is_withdrawn(name)).ok_or(Refusal::VersionGone)?;
        self.required_version = RequiredVersion::Only(name);
        Ok(())
    }

    /// The filter that admits only the required version; `Any` if none is required.
    pub(super) fn required_version_filter(&self) -> VersionFilter {
        self.began_at_version().map_or(VersionFilter::Any, |name| {
            VersionFilter::Only(VersionId::new(&self.service, name))
        })
    }

    /// Whether the service has an upstream that accepts requests and has the required version, if
    /// one is required.
    pub(super) fn has_required_version(&self) -> bool {
        let VersionFilter::Only(version) = self.required_version_filter() else { return true };
        self.hub.read(|view| view.registry().accepts_version(&self.service, version))
    }

    /// The version that began the response, if it has begun and the version is known.
    pub(super) fn began_at_version(&self) -> Option<&VersionName> {
        match &self.required_version {
            RequiredVersion::Only(name) => Some(name),
            RequiredVersion::Any | RequiredVersion::Unknown => None,
        }
    }

    /// Checks the version of an upstream whose first event is about to be passed on. The first one
    /// decides which version is required, and is recorded for the boxes that the caller may return
    /// to.
    pub(super) fn check_version_of(&mut self, placed: &PlacedRequest) -> Result<(), OtherVersion> {
        let version = self.confirmed_version(placed);
        if self.required_version == RequiredVersion::Any {
            self.required_version =
                version.clone().map_or(RequiredVersion::Unknown, RequiredVersion::Only);
        }
        if self.began_at_version() != version.as_ref() {
            return Err(OtherVersion);
        }
        if !std::mem::replace(&mut self.is_version_recorded, true) {
            self.record_version();
        }
        Ok(())
    }

    fn record_version(&self) {
        let Some(stream) = self.stream_id() else { return };
        let version = self.began_at_version().map(|name| VersionId::new(&self.service, name));
        let waits = self.head.timeout.unwrap_or_default().max(self.remaining());
        let ttl = waits.saturating_add(RETURN_SLACK).as_millis();
        let ttl_ms = u32::try_from(ttl).unwrap_or(u32::MAX);
        let record = StreamRecord { stream, version, ttl_ms };
        stream_versions::record(&self.hub, &self.service, record);
    }

    /// The version of an upstream that has returned an event. `None` if its entry has changed since
    /// the request was placed, so that either version may have run it.
    fn confirmed_version(&self, placed: &PlacedRequest) -> Option<VersionName> {
        let listed = self.hub.read(|view| {
            let listed = view.registry().get(placed.upstream());
            listed.map(|listed| listed.version.clone())
        });
        match (placed.version().cloned(), listed) {
            (Some(version), Some(listed)) => (version == listed).then_some(version),
            (version, listed) => version.or(listed),
        }
    }

    /// The stream of which the response is a part; `None` if the caller gives no id.
    fn stream_id(&self) -> Option<StreamId> {
        let attempt = if self.head.is_resumption() {
            self.head.first_attempt.as_deref()?
        } else {
            &self.head.id
        };
        StreamId::new(self.workspace.as_ref(), attempt)
    }
}
