//! Keeps the records of this box's requests in progress right at the boxes that track the
//! upstreams, and those of other boxes' requests here.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::debug;
use slog::info;

use crate::fleet::in_progress::InProgressReport;
use crate::fleet::in_progress::RECORDS_PER_DATAGRAM_MAX;
use crate::fleet::in_progress::REPORT_INTERVAL;
use crate::fleet::in_progress::RequestRecord;
use crate::fleet::in_progress::ShortId;
use crate::fleet::in_progress::table::OwnRequest;
use crate::fleet::owners::GroupOwners;
use crate::names::UpstreamName;
use crate::placement::registry::learned::LearnedRequest;
use crate::placement::upstream;
use crate::proxy::aligned_timer;
use crate::proxy::hub::Hub;
use crate::proxy::message::Message;
use crate::proxy::plain_placement;

/// Unknown requests asked for in one datagram.
const UNKNOWN_MAX: usize = 200;

/// Records that a request of this box is being sent, which the boxes `recorded_by` have recorded.
/// Owners that haven't get its record.
pub fn begin(hub: &Hub, id: u64, request: OwnRequest, recorded_by: &[IpAddr]) {
    let (owners, now) = (hub.peers().owners(), hub.now());
    let (missing, record) = hub.own_requests(|own| {
        let missing = own.begin(id, request, recorded_by.iter().copied(), &owners, now);
        let record = if missing.is_empty() { None } else { own.record(id, now) };
        (missing, record)
    });
    if let Some(record) = record {
        hub.peers().send_batched(missing.into_iter(), &Message::RequestRecords(vec![record]));
    }
}

/// Sends the first token of a request to the boxes that have a record of it.
pub fn record_first_token(hub: &Hub, id: u64, message: &Message) {
    let trackers = hub.own_requests(|own| {
        own.record_first_token(id);
        own.trackers(id).to_vec()
    });
    notify(hub, trackers, message);
}

/// Removes a request, and sends its end or withdrawal to the boxes that have a record of it.
pub fn end(hub: &Hub, id: u64, message: &Message) {
    let now = hub.now();
    let trackers = hub.own_requests(|own| own.end(id, now));
    notify(hub, trackers, message);
}

fn notify(hub: &Hub, trackers: Vec<IpAddr>, message: &Message) {
    if hub.peers().owners().is_empty() {
        hub.peers().broadcast(message);
    } else {
        hub.peers().send_batched(trackers.into_iter(), message);
    }
}

/// Sends the records of requests to the boxes that have come to own their upstreams.
pub fn owners_changed(hub: &Hub) {
    let (owners, now) = (hub.peers().owners(), hub.now());
    for (ip, records) in hub.own_requests(|own| own.owners_changed(&owners, now)) {
        send_records(hub, ip, &records);
    }
    reconcile_own(hub);
}

/// Reports the requests in progress to the boxes that track them, until the process ends.
pub async fn run(hub: Arc<Hub>) {
    // Boxes that were started together don't report at the same time.
    let interval_ms = REPORT_INTERVAL.as_millis() as u32;
    let offset =
        Duration::from_millis((hub.peers().own_draw("in-progress") % (interval_ms / 2)).into());
    loop {
        aligned_timer::wait_for_tick(REPORT_INTERVAL).await;
        tokio::time::sleep(offset).await;
        report(&hub);
        reconcile_own(&hub);
        let now = hub.now();
        hub.received_reports(|received| received.expire(now));
    }
}

fn report(hub: &Hub) {
    let now = hub.now();
    if hub.peers().owners().is_empty() {
        for report in hub.own_requests(|own| own.broadcast_report(now)) {
            hub.peers().broadcast(&Message::InProgress(report));
        }
        return;
    }
    for (ip, report) in hub.own_requests(|own| own.reports(now)) {
        hub.peers().send_batched([ip].into_iter(), &Message::InProgress(report));
    }
}

/// Corrects this box's records of its own requests.
fn reconcile_own(hub: &Hub) {
    let (owners, now) = (hub.peers().owners(), hub.now());
    let listed = hub.own_requests(|own| own.listed());
    let reconciliation = hub.with_registry(|registry| registry.reconcile(None, &listed, now));
    if reconciliation.unknown.is_empty() {
        return;
    }
    let records = hub.own_requests(|own| own.owned_records(&reconciliation.unknown, &owners, now));
    hub.with_registry(|registry| {
        records.iter().for_each(|record| _ = registry.adopt_request(record, None, now));
    });
}

/// The other boxes that record a placement on an upstream with this owner hash: the other one of
/// owner and standby, and those that place requests there too.
pub fn other_deciders(hub: &Hub, owner_hash: u64, group_owners: GroupOwners) -> Vec<IpAddr> {
    let (now, own_ip) = (hub.now(), hub.peers().own_ip());
    let mut others: Vec<IpAddr> = group_owners.boxes().filter(|ip| *ip != own_ip).collect();
    let group = hub.peers().owners().group(owner_hash);
    hub.read(|view| {
        for ip in view.registry().rivals(group, now) {
            if !others.contains(&ip) {
                others.push(ip);
            }
        }
    });
    others
}

/// Records that another box has placed a request of a third one on an upstream, which this box may
/// own by its own table.
pub fn handle_placed(hub: &Hub, upstream: &UpstreamName, decided_by: IpAddr) {
    let (owners, now, own_ip) = (hub.peers().owners(), hub.now(), hub.peers().own_ip());
    let service = hub.read(|view| {
        let registry = view.registry();
        let service = registry.get(upstream).map(|listed| listed.service.clone());
        service.filter(|_| !registry.is_engine(upstream))
    });
    let owner_hash = service.map_or_else(
        || upstream::name_hash(upstream),
        |service| plain_placement::owner_hash(&service),
    );
    let group = owners.group(owner_hash);
    if owners.owners_of(group).is_none_or(|owned| owned.owner != own_ip) {
        return;
    }
    if hub.with_registry(|registry| registry.record_rival(group, own_ip, decided_by, now)) {
        info!(hub.log(), "another box places requests of an own group"; "ip" => %decided_by,
            "group" => %group, "yields" => group.outranks(decided_by, own_ip));
    }
}

/// Applies a report of another box on its requests in progress.
pub fn handle_report(hub: &Hub, report: &InProgressReport, sender: IpAddr) {
    let now = hub.now();
    let listed = match hub.received_reports(|received| received.receive(sender, report, now)) {
        Ok(listed) => listed,
        Err(fault) => {
            debug!(hub.log(), "report of requests in progress ignored"; "by" => %sender,
                "fault" => fault.code(), "sequence" => report.sequence);
            hub.metrics().in_progress_fault(fault.code());
            return;
        }
    };
    let reconciliation =
        hub.with_registry(|registry| registry.reconcile(Some(sender), &listed, now));
    let (dropped, unknown) = (reconciliation.dropped, reconciliation.unknown.len());
    hub.metrics().requests_corrected("dropped", dropped);
    hub.metrics().requests_corrected("unknown", unknown);
    if dropped != 0 || unknown != 0 {
        info!(hub.log(), "requests in progress corrected"; "by" => %sender,
            "listed" => report.requests.len(), "dropped" => dropped, "unknown" => unknown);
    }
    for ids in reconciliation.unknown.chunks(UNKNOWN_MAX) {
        let message = Message::UnknownRequests(ids.to_vec());
        hub.peers().send_batched([sender].into_iter(), &message);
    }
}

/// Sends the records of requests that another box doesn't know.
pub fn handle_unknown(hub: &Hub, ids: &[ShortId], sender: IpAddr) {
    let now = hub.now();
    let records = hub.own_requests(|own| own.records_of(ids, sender, now));
    send_records(hub, sender, &records);
}

fn send_records(hub: &Hub, to: IpAddr, records: &[RequestRecord]) {
    for records in records.chunks(RECORDS_PER_DATAGRAM_MAX) {
        let message = Message::RequestRecords(records.to_vec());
        hub.peers().send_batched([to].into_iter(), &message);
    }
}

/// Adds the requests in progress that another tracking box has. This box knows its own.
pub fn handle_learned(hub: &Hub, requests: &[LearnedRequest]) {
    let (now, own_ip) = (hub.now(), hub.peers().own_ip());
    for LearnedRequest { sender, record } in requests.iter().filter(|r| r.sender != own_ip) {
        let adopted =
            hub.with_registry(|registry| registry.adopt_learned_request(record, *sender, now));
        match adopted {
            Ok(()) => hub.metrics().requests_corrected("handed-on", 1),
            Err(fault) => hub.metrics().in_progress_fault(fault.code()),
        }
    }
}

/// Adds records of requests that another box has in progress.
pub fn handle_records(hub: &Hub, records: &[RequestRecord], sender: IpAddr) {
    let now = hub.now();
    for record in records {
        match hub.with_registry(|registry| registry.adopt_request(record, Some(sender), now)) {
            Ok(()) => hub.metrics().requests_corrected("adopted", 1),
            Err(fault) => {
                debug!(hub.log(), "record of a request ignored"; "by" => %sender,
                    "fault" => fault.code(), "upstream" => record.upstream.as_str());
                hub.metrics().in_progress_fault(fault.code());
            }
        }
    }
}
