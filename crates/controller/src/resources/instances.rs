//! `/-/instances/ID`: servers say that they live, leave, or have gone.

use super::{go_to, json, name_under, INSTANCES};
use crate::driver::Driver;
use nickeljunction_messages::{LeaderRedirect, ServerState};
use nickeljunction_net::desk::{Answering, Call, Resource, Response};
use nickeljunction_registry::Heartbeat;
use serde::Deserialize;
use std::rc::Rc;

/// Longest name of a life, bytes.
const MOST_ID: usize = 128;

#[derive(Deserialize)]
struct Body {
    address: String,
    node_info: Info,
    #[serde(default)]
    status: Status,
}

#[derive(Deserialize)]
struct Info {
    backend: String,
    #[serde(default)]
    config_version: serde_json::Value,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    slots: f64,
}

#[derive(Deserialize, Default)]
struct Status {
    #[serde(default)]
    state: String,
    #[serde(default)]
    call_seq: f64,
    #[serde(default)]
    warmup_left_s: f64,
}

fn read(body: &[u8]) -> Result<Heartbeat, String> {
    let body: Body = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    if body.address.parse::<std::net::SocketAddr>().is_err() {
        return Err(format!("address: wants IP:PORT, got {:?}", body.address));
    }
    let state = match body.status.state.as_str() {
        "in_service" | "" => ServerState::InService,
        "draining" => ServerState::Draining,
        other => return Err(format!("status.state: wants in_service or draining, got {other:?}")),
    };
    if body.node_info.backend.is_empty() {
        return Err("node_info.backend: wants the name of a service".into());
    }
    Ok(Heartbeat {
        address: body.address,
        backend: body.node_info.backend,
        version: body.node_info.config_version.as_str().unwrap_or_default().to_string(),
        zone: body.node_info.zone,
        slots: body.node_info.slots.clamp(0.0, 1e6) as u32,
        state,
        call_seq: body.status.call_seq.max(0.0) as u64,
        warmup_left_ms: (body.status.warmup_left_s.clamp(0.0, 3_600.0) * 1_000.0).ceil() as u64,
    })
}

/// See the module.
pub struct Instances(pub Rc<Driver>);

impl Resource for Instances {
    fn handle<'a>(&'a self, call: Call) -> Answering<'a> {
        Box::pin(async move {
            let id = match name_under(&call, INSTANCES) {
                Some(id) if id.len() <= MOST_ID => id.into_owned(),
                _ => return Response::error(404, "wants /-/instances/ID"),
            };
            let answered = match call.method.as_str() {
                "PUT" => self.beat(&call, &id).await,
                "DELETE" => self.leave(&id).await,
                _ => return Response::error(405, "wants PUT or DELETE").with("Allow", "PUT, DELETE"),
            };
            answered.unwrap_or_else(|elsewhere| go_to(&self.0, &call, &elsewhere))
        })
    }
}

impl Instances {
    async fn beat(&self, call: &Call, id: &str) -> Result<Response, LeaderRedirect> {
        let beat = match read(&call.body) {
            Ok(beat) => beat,
            Err(error) => return Ok(Response::error(400, &error)),
        };
        if let Some(round) = self.0.beat(id, &beat)? {
            self.0.come_round(&round).await?;
        }
        // Later beats come here at once: the leader takes them.
        let target = format!("{}:{}", self.0.place.host, self.0.ports.control);
        Ok(json(200, &serde_json::json!({ "heartbeat_target": target })))
    }

    async fn leave(&self, id: &str) -> Result<Response, LeaderRedirect> {
        let round = self.0.gone(id)?;
        self.0.come_round(&round).await?;
        Ok(Response::empty(200))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_beat_is_read_and_a_bad_one_is_told_what_is_wanted() {
        let beat = read(
            br#"{"address":"10.128.0.9:8080","node_info":{"backend":"huvo11a","config_version":"v1","zone":"z","slots":2},
            "status":{"state":"draining","call_seq":4,"warmup_left_s":0.0305},"new":1}"#,
        );
        let beat = beat.expect("a proper beat");
        assert_eq!((beat.state, beat.call_seq, beat.warmup_left_ms), (ServerState::Draining, 4, 31));
        for (body, wants) in [
            (&br#"{"address":"x","node_info":{"backend":"b"}}"#[..], "address: wants IP:PORT"),
            (br#"{"address":"1.2.3.4:5","node_info":{"backend":""}}"#, "node_info.backend"),
            (br#"{"address":"1.2.3.4:5"}"#, "node_info"),
            (
                br#"{"address":"1.2.3.4:5","node_info":{"backend":"b"},"status":{"state":"x"}}"#,
                "status.state",
            ),
            (br#"{"addr"#, "EOF"),
        ] {
            let error = read(body).expect_err("not proper");
            assert!(error.contains(wants), "{error}");
        }
    }
}
