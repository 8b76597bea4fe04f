//! Runs the cases of the second review. Usage: review-cases CASE RECORD

#![allow(dead_code)]

mod added_route;
mod crashing_request;
mod late_long_body;
mod mesh;
mod one_service;
mod system;

use crashing_request::{Between, Case};
use one_service::Disruption;

fn main() {
    let mut args = std::env::args().skip(1);
    let (case, path) = (args.next().unwrap_or_default(), args.next().unwrap_or_default());
    let record = system::Record::create(&path);
    system::limit_time(&record);
    let verdict = match case.as_str() {
        "added-route" => added_route::run(&record),
        "crashing-long-request" => crashing_request::run(
            &record,
            &Case { body: 300_000, between: Between::Nothing, route_type: "unsafe", sends: 9 },
        ),
        // The same with a body that a node buffers as a whole, for comparison.
        "crashing-short-request" => crashing_request::run(
            &record,
            &Case { body: 3_000, between: Between::Nothing, route_type: "unsafe", sends: 9 },
        ),
        "crashing-request-leader" => crashing_request::run(
            &record,
            &Case { body: 3_000, between: Between::KillLeader, route_type: "unsafe", sends: 9 },
        ),
        "late-long-body" => late_long_body::run(&record),
        "unrelated-crashes" => one_service::run(&record, Disruption::Crashes),
        "other-writer" => one_service::run(&record, Disruption::OtherWriter),
        other => Err(system::CannotRun(format!("there is no case {other:?}"))),
    };
    system::finish(&record, verdict)
}
