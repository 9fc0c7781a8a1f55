//! The servers' side against scripted servers: what reaches them, and what its client is told.

use bytes::{Bytes, BytesMut};
use nickeljunction_core::facade::RetrySafety;
use nickeljunction_core::life::Answer;
use nickeljunction_edge::exchange::{
    Admission, AdmissionDecision, BodyPart, BodyStream, Dispatch, Exchange, RequestBody, ResponseBody,
    ServerResponse,
};
use nickeljunction_edge::proxy::Proxy;
use nickeljunction_edge::proxy_types::{BackendConfig, ProxyTuning};
use nickeljunction_edge::shutdown::Shutdown;
use nickeljunction_edge::upstream::Location;
use nickeljunction_http::stream::{read_request_head, BodyReader};
use nickeljunction_http::{Chunk, Headers};
use nickeljunction_messages::{ServerInfo, ServerState};
use nickeljunction_net::budget::Budget;
use nickeljunction_net::clock::Clock;
use nickeljunction_net::wheel::Wheel;
use std::cell::{OnceCell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, Notify};

/// From the order to leave to the end of the process, ms.
const GRACE_MS: f64 = 6_000.0;

/// A request as a server got it.
#[derive(Debug, Clone)]
struct Arrival {
    server: String,
    /// Which of its server's connections it came on.
    connection: usize,
    id: String,
    headers: Headers,
    body: Vec<u8>,
}

/// What a server does with a request.
enum Act {
    /// Sends bytes.
    Say(Vec<u8>),
    /// Closes the connection.
    Close,
    /// Resets it.
    Reset,
    /// Says nothing until the connection ends.
    Hang,
    /// Is at work until told; the connection may end meanwhile.
    Work(Rc<Notify>),
}

type Script = Rc<dyn Fn(usize, &Arrival) -> Vec<Act>>;

/// An answer with these lines.
fn says(status: u16, id: &str, lines: &str, body: &[u8]) -> Vec<u8> {
    let head =
        format!("HTTP/1.1 {status} X\r\nX-Attempt-Id: {id}\r\nContent-Length: {}\r\n{lines}\r\n", body.len());
    [head.as_bytes(), body].concat()
}

fn good(id: &str) -> Vec<u8> {
    says(200, id, "X-Response-Seal: s\r\n", format!("for {id}").as_bytes())
}

fn away(id: &str, status: u16) -> Vec<u8> {
    says(status, id, "X-Not-Executed: 1\r\n", b"")
}

/// The servers and what they got, and the side under test.
struct Rig {
    proxy: Rc<Proxy>,
    wheel: Wheel,
    arrivals: Rc<RefCell<Vec<Arrival>>>,
    /// Tells of connections that ended while a server said nothing.
    hung_up: Rc<Notify>,
    lines: Vec<ServerInfo>,
}

impl Rig {
    /// Servers `s0`, `s1` ... of one service, one for each zone named; all play one script, which is told how many
    /// requests all of them have had before.
    async fn new(
        zones: &[&str],
        tuning: ProxyTuning,
        script: impl Fn(usize, &Arrival) -> Vec<Act> + 'static,
    ) -> Rig {
        let wheel = Wheel::new(Clock::start());
        tokio::task::spawn_local(wheel.clone().run());
        let here = Location { name: "g1".into(), zone: "n1".into(), region: "n".into() };
        let proxy = Proxy::new(wheel.clone(), Budget::new(1_000), here, 7, tuning);
        tokio::task::spawn_local(proxy.clone().run());
        let (arrivals, hung_up) = (Rc::new(RefCell::new(Vec::new())), Rc::new(Notify::new()));
        let script: Script = Rc::new(script);
        let mut lines = Vec::new();
        for (at, zone) in zones.iter().enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = listener.local_addr().expect("bound").to_string();
            let (id, backend, zone, state) =
                (format!("s{at}"), "b".into(), zone.to_string(), ServerState::InService);
            let play = (script.clone(), arrivals.clone(), hung_up.clone());
            tokio::task::spawn_local(listen(listener, id.clone(), play));
            lines.push(ServerInfo { id, backend, address, zone, slots: 2, state, cold: None });
        }
        let rig = Rig { proxy, wheel, arrivals, hung_up, lines };
        rig.proxy.set_gateway_count(1);
        let backend = BackendConfig { max_connections: 100, warmup_per_s: 0.001 };
        rig.proxy.update_backends(HashMap::from([("b".to_string(), backend)]));
        rig.list(&[]);
        rig
    }

    fn list(&self, evacuated: &[&str]) {
        let zones = [("n1", "n"), ("n2", "n"), ("s1", "s")];
        let regions = zones.iter().map(|(zone, region)| (zone.to_string(), region.to_string())).collect();
        let evacuated: Vec<String> = evacuated.iter().map(|zone| zone.to_string()).collect();
        self.proxy.update_servers(&self.lines, &evacuated, &regions);
    }

    /// A request of this id, and where its answer comes.
    fn exchange(
        &self,
        id: &str,
        repeat: RetrySafety,
    ) -> (Exchange, oneshot::Receiver<Answer<ServerResponse>>) {
        let mut head = BytesMut::from(
            "GET /a?b HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k\r\nX-Tenant-Name: forged\r\nX-Attempt-Id: x\r\n\
             X-Expected-Instance: forged\r\nX-Other: kept\r\nConnection: keep-alive\r\n\r\n",
        );
        let head = read_request_head(&mut head, 4_096).expect("good").expect("whole");
        let (reply, answer) = oneshot::channel();
        let exchange = Exchange {
            method: head.method,
            target: head.target,
            headers: head.headers,
            body: RequestBody::Buffered(Bytes::new()),
            attempt_id: id.to_string(),
            tenant: Some("t".into()),
            unit_valid_until: f64::INFINITY,
            backend: "b".into(),
            home_regions: Rc::new([]),
            retry_safety: repeat,
            target_latency_ms: 4_000.0,
            max_attempts: 2,
            priority: 0,
            arrived: self.wheel.now(),
            timeout_ms: 10_000.0,
            reply,
        };
        (exchange, answer)
    }

    async fn ask(&self, id: &str, repeat: RetrySafety) -> Answer<ServerResponse> {
        let (exchange, answer) = self.exchange(id, repeat);
        self.proxy.dispatch(exchange);
        answer.await.expect("exactly one answer")
    }

    fn servers(&self) -> Vec<String> {
        self.arrivals.borrow().iter().map(|arrival| arrival.server.clone()).collect()
    }
}

type Play = (Script, Rc<RefCell<Vec<Arrival>>>, Rc<Notify>);

async fn listen(listener: TcpListener, id: String, play: Play) {
    for connection in 0.. {
        let Ok((stream, _)) = listener.accept().await else { return };
        tokio::task::spawn_local(serve(stream, id.clone(), connection, play.clone()));
    }
}

async fn serve(mut stream: TcpStream, server: String, connection: usize, (script, log, hung_up): Play) {
    let mut from = BytesMut::new();
    loop {
        let head = loop {
            match read_request_head(&mut from, 16_384).expect("a request") {
                Some(head) => break head,
                None if stream.read_buf(&mut from).await.unwrap_or(0) == 0 => return,
                None => {}
            }
        };
        let mut reader = BodyReader::new(head.framing, 1 << 20).expect("within bounds");
        let mut body = Vec::new();
        while !reader.is_complete() {
            match reader.next(&mut from).expect("a body") {
                Chunk::Part(part) => body.extend_from_slice(&part),
                Chunk::Incomplete if stream.read_buf(&mut from).await.unwrap_or(0) == 0 => return,
                _ => {}
            }
        }
        assert_eq!((&head.method[..], &head.target[..]), ("GET", "/a?b"));
        let id = head.headers.get("x-attempt-id").expect("an id").to_string();
        let arrival = Arrival { server: server.clone(), connection, id, headers: head.headers, body };
        let before = log.borrow().len();
        let acts = script(before, &arrival);
        log.borrow_mut().push(arrival);
        for act in acts {
            match act {
                Act::Say(bytes) => {
                    if stream.write_all(&bytes).await.is_err() {
                        return;
                    }
                }
                Act::Close => return,
                Act::Reset => {
                    let socket = socket2::SockRef::from(&stream);
                    return socket.set_linger(Some(std::time::Duration::ZERO)).expect("a socket");
                }
                Act::Work(done) => done.notified().await,
                Act::Hang => {
                    let _ = stream.read_buf(&mut from).await;
                    return hung_up.notify_one();
                }
            }
        }
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

fn roomy() -> ProxyTuning {
    ProxyTuning { retry_slack: 1_000, ..ProxyTuning::default() }
}

/// Status and whole body of an answer; 0 for a failure, 1 for a refusal.
fn told(answer: Answer<ServerResponse>) -> (u16, String) {
    match answer {
        Answer::Served(ServerResponse { status, body: ResponseBody::Buffered(body), .. }) => {
            (status, String::from_utf8(body.to_vec()).expect("text"))
        }
        Answer::Served(served) => (served.status, "streamed".into()),
        Answer::Failed => (0, String::new()),
        Answer::ShortOnCapacityReply(_) => (1, String::new()),
    }
}

fn fine(id: &str) -> (u16, String) {
    (200, format!("for {id}"))
}

const ONCE: RetrySafety = RetrySafety::AtMostOnce;
const SAFE: RetrySafety = RetrySafety::Idempotent;

#[test]
fn a_surplus_answer_is_never_given_to_the_next_request() {
    run(async {
        let rig = Rig::new(&["n1"], roomy(), |before, arrival| match before {
            // Late, in the next one's place, before the next one's own.
            1 => vec![Act::Say(good("a")), Act::Say(good(&arrival.id))],
            // Right behind the answer.
            2 => vec![Act::Say([good(&arrival.id), good(&arrival.id)].concat())],
            // Nothing but another one's.
            4 => vec![Act::Say([good("a"), good("b")].concat()), Act::Hang],
            _ => vec![Act::Say(good(&arrival.id))],
        });
        let rig = rig.await;
        for id in ["a", "b", "c", "d"] {
            assert_eq!(told(rig.ask(id, ONCE).await), fine(id));
        }
        assert_eq!(told(rig.ask("e", ONCE).await), (0, String::new()));
        let connections: Vec<_> = rig.arrivals.borrow().iter().map(|arrival| arrival.connection).collect();
        assert_eq!(connections, [0, 0, 1, 2, 2], "what has had a surplus is closed");
    });
}

#[test]
fn what_was_turned_away_goes_elsewhere_even_if_it_must_not_run_twice() {
    run(async {
        for status in [421, 503, 429] {
            let rig = Rig::new(&["n1", "n1"], roomy(), move |before, arrival| match before {
                0 if status == 421 => vec![Act::Say(says(421, &arrival.id, "", b"not me"))],
                0 => vec![Act::Say(away(&arrival.id, status))],
                _ => vec![Act::Say(good(&arrival.id))],
            });
            let rig = rig.await;
            assert_eq!(told(rig.ask("a", ONCE).await), fine("a"));
            let servers = rig.servers();
            assert!(servers.len() == 2 && servers[0] != servers[1], "{servers:?}");
            if status == 421 {
                for turn in 0..6 {
                    assert_eq!(told(rig.ask(&turn.to_string(), ONCE).await), fine(&turn.to_string()));
                }
                let first = servers[0].clone();
                assert!(!rig.servers()[1..].contains(&first), "another one listens there");
            }
        }
    });
}

#[test]
fn what_may_have_run_is_sent_again_only_if_that_does_no_harm() {
    run(async {
        type Acts = fn(&str) -> Vec<Act>;
        let cases: [(&str, Acts, u16); 8] = [
            ("reset", |_| vec![Act::Reset], 0),
            ("closed", |_| vec![Act::Close], 0),
            ("cut", |id| vec![Act::Say(good(id)[..60].to_vec()), Act::Close], 0),
            ("garbled", |_| vec![Act::Say(b"\x16\x03\x01noise\r\n\r\n".to_vec()), Act::Hang], 0),
            ("no seal", |id| vec![Act::Say(says(200, id, "", b"?"))], 0),
            (
                "no id",
                |_| {
                    vec![Act::Say(
                        b"HTTP/1.1 200 X\r\nX-Response-Seal: s\r\nContent-Length: 0\r\n\r\n".to_vec(),
                    )]
                },
                0,
            ),
            ("no promise of its own", |id| vec![Act::Say(says(503, id, "", b""))], 0),
            ("failure", |id| vec![Act::Say(says(500, id, "X-Response-Seal: s\r\n", b"ran"))], 500),
        ];
        for (what, acts, once) in cases {
            let script = move |before: usize, arrival: &Arrival| match before {
                0 => acts(&arrival.id),
                _ => vec![Act::Say(good(&arrival.id))],
            };
            let rig = Rig::new(&["n1", "n1"], roomy(), script).await;
            assert_eq!((told(rig.ask("a", ONCE).await).0, rig.servers().len()), (once, 1), "{what}");
            let rig = Rig::new(&["n1", "n1"], roomy(), script).await;
            assert_eq!((told(rig.ask("a", SAFE).await), rig.servers().len()), (fine("a"), 2), "{what}");
        }
        // The last failure is passed on once there is nowhere else to go.
        let fails = |_: usize, arrival: &Arrival| vec![Act::Say(says(500, &arrival.id, "", b"ran"))];
        let rig = Rig::new(&["n1", "n1", "n1"], roomy(), fails).await;
        assert_eq!((told(rig.ask("a", SAFE).await).0, rig.servers().len()), (500, 2), "a route's most");
    });
}

#[test]
fn long_answers_are_streamed_in_small_parts_and_break_visibly() {
    const LONG: usize = 540_000;
    run(async {
        let rig = Rig::new(&["n1"], roomy(), |before, arrival| {
            let whole = says(200, &arrival.id, "X-Response-Seal: s\r\n", &vec![b'x'; LONG]);
            match before {
                1 => vec![Act::Say(whole[..LONG / 2].to_vec()), Act::Close],
                _ => vec![Act::Say(whole)],
            }
        });
        let rig = rig.await;
        for (id, complete) in [("a", true), ("b", false), ("c", true)] {
            let Answer::Served(ServerResponse {
                status: 200, body: ResponseBody::Streamed(mut body), ..
            }) = rig.ask(id, SAFE).await
            else {
                panic!("a streamed answer")
            };
            assert_eq!(body.length, Some(LONG as u64));
            let (mut length, mut ended) = (0, false);
            while let Some(part) = body.parts.recv().await {
                assert!(!ended && body.parts.len() <= 2);
                match part {
                    BodyPart::Data(bytes) => length += bytes.len(),
                    BodyPart::End => ended = true,
                }
            }
            assert_eq!((ended, length == LONG), (complete, complete), "{id}: {length}");
        }
        rig.proxy.wait_until_idle().await;
        assert_eq!((rig.proxy.active_requests(), rig.servers().len()), (0, 3));
        let connections: Vec<_> = rig.arrivals.borrow().iter().map(|arrival| arrival.connection).collect();
        assert_eq!(connections, [0, 0, 1], "kept after a whole answer");
    });
}

#[test]
fn homes_evacuated_zones_and_cold_servers_are_respected() {
    run(async {
        let answers = |_: usize, arrival: &Arrival| vec![Act::Say(good(&arrival.id))];
        let mut rig = Rig::new(&["n1", "n2", "s1"], roomy(), answers).await;
        let ask = |rig: &Rig, homes: &[&str], patience_ms| {
            let (mut exchange, answer) = rig.exchange("a", SAFE);
            exchange.home_regions = homes.iter().map(|home| home.to_string()).collect();
            exchange.timeout_ms = patience_ms;
            rig.arrivals.borrow_mut().clear();
            rig.proxy.dispatch(exchange);
            async { told(answer.await.expect("an answer")).0 }
        };
        rig.list(&["n1"]);
        assert_eq!((ask(&rig, &[], 9e3).await, rig.servers()), (200, vec!["s1".to_string()]));
        assert_eq!((ask(&rig, &["s"], 9e3).await, rig.servers()), (200, vec!["s2".to_string()]));
        rig.list(&["n1", "n2"]);
        assert_eq!((ask(&rig, &["n"], 200.0).await, rig.servers().len()), (1, 0), "nowhere to go");
        assert_eq!((ask(&rig, &[], 9e3).await, rig.servers()), (200, vec!["s2".to_string()]));
        // Cold: one permit in a long time for the gateway that holds it, and none for others.
        rig.lines[0].cold = Some("g1".into());
        rig.lines[1].cold = Some("g2".into());
        rig.lines[2].state = ServerState::Draining;
        rig.list(&[]);
        assert_eq!((ask(&rig, &[], 9e3).await, rig.servers()), (200, vec!["s0".to_string()]));
        assert_eq!((ask(&rig, &[], 200.0).await, rig.servers().len()), (1, 0), "no permit");
        rig.lines[0].cold = None;
        rig.list(&[]);
        assert_eq!((ask(&rig, &[], 9e3).await, rig.servers()), (200, vec!["s0".to_string()]), "warm again");
    });
}

#[test]
fn where_no_near_server_can_be_reached_a_far_one_serves_at_once() {
    run(async {
        let answers = |_: usize, arrival: &Arrival| vec![Act::Say(good(&arrival.id))];
        let mut rig = Rig::new(&["n1", "s1"], roomy(), answers).await;
        assert_eq!((told(rig.ask("a", ONCE).await), rig.servers()), (fine("a"), vec!["s0".to_string()]));
        // Nobody listens there any more, and the list still names it.
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        rig.lines[0].address = listener.local_addr().expect("bound").to_string();
        drop(listener);
        rig.list(&[]);
        assert_eq!((told(rig.ask("b", ONCE).await), &rig.servers()[1][..]), (fine("b"), "s1"));
        let counts = rig.proxy.counts();
        assert_eq!((counts.connect_failures, counts.further_attempts), (1, 0), "{}", rig.proxy.log_line());
    });
}

/// An id whose address changes, with its connection idle and with it at work: another one listens there now.
#[test]
fn no_connection_to_an_old_address_is_used_again() {
    run(async {
        let done = Rc::new(Notify::new());
        let work = done.clone();
        let mut rig = Rig::new(&["n1", "n1", "n1"], roomy(), move |before, arrival| match before {
            1 => vec![Act::Work(work.clone()), Act::Say(good(&arrival.id))],
            _ => vec![Act::Say(good(&arrival.id))],
        })
        .await;
        let addresses: Vec<String> = rig.lines.iter().map(|line| line.address.clone()).collect();
        rig.lines.truncate(1);
        rig.list(&[]);
        assert_eq!(told(rig.ask("a", ONCE).await), fine("a"));
        rig.lines[0].address = addresses[1].clone();
        rig.list(&[]);
        let (exchange, answer) = rig.exchange("b", ONCE);
        rig.proxy.dispatch(exchange);
        while rig.servers().len() < 2 {
            tokio::task::yield_now().await;
        }
        rig.lines[0].address = addresses[2].clone();
        rig.list(&[]);
        done.notify_one();
        assert_eq!(told(answer.await.expect("an answer")), fine("b"));
        assert_eq!(told(rig.ask("c", ONCE).await), fine("c"));
        assert_eq!(rig.servers(), ["s0", "s1", "s2"]);
    });
}

#[test]
fn the_budget_bounds_further_sends_while_every_server_fails() {
    run(async {
        let tuning = ProxyTuning { retry_slack: 8, ..ProxyTuning::default() };
        let fails = |_: usize, arrival: &Arrival| vec![Act::Say(says(500, &arrival.id, "", b"ran"))];
        let rig = Rig::new(&["n1", "n1", "n1"], tuning, fails).await;
        for turn in 0..60 {
            assert_eq!(told(rig.ask(&turn.to_string(), SAFE).await).0 / 500 * 500, 500);
        }
        let (arrivals, counts) = (rig.servers().len(), rig.proxy.counts());
        assert!((61..=60 + 12).contains(&arrivals), "{arrivals}");
        assert_eq!(
            (counts.first_attempts + counts.further_attempts, counts.first_attempts),
            (arrivals as u64, 60),
            "{}",
            rig.proxy.log_line()
        );
    });
}

/// A tenant has no unit left.
struct Spent;

impl Admission for Spent {
    fn admit<'a>(&'a self, _: &'a str) -> Pin<Box<dyn Future<Output = AdmissionDecision> + 'a>> {
        unreachable!("the clients' side asks for it")
    }

    fn take_extra_unit(&self, _: &str) -> bool {
        false
    }

    fn stale_retry_after_ms(&self) -> Option<f64> {
        None
    }
}

#[test]
fn no_unit_no_further_send_and_none_by_a_unit_that_is_over() {
    run(async {
        let rig = Rig::new(&["n1", "n2"], roomy(), |_, _| vec![Act::Reset]).await;
        let spent: Rc<dyn Admission> = Rc::new(Spent);
        rig.proxy.set_admission(Rc::downgrade(&spent));
        let answer = rig.ask("a", SAFE).await;
        assert!(matches!(answer, Answer::ShortOnCapacityReply(_)), "its one unit was used");
        assert_eq!(rig.servers().len(), 1);
        let (mut exchange, answer) = rig.exchange("b", ONCE);
        exchange.unit_valid_until = exchange.arrived - 1.0;
        rig.proxy.dispatch(exchange);
        let answer = answer.await.expect("exactly one answer");
        assert!(matches!(answer, Answer::ShortOnCapacityReply(_)), "it never ran");
        assert_eq!(rig.servers().len(), 1);
    });
}

/// Has the one server of the region work on requests until it takes no more.
async fn fill(rig: &Rig) -> Vec<oneshot::Receiver<Answer<ServerResponse>>> {
    let mut at_work = Vec::new();
    while rig.servers().len() < 2 {
        let (exchange, answer) = rig.exchange("at work", SAFE);
        rig.proxy.dispatch(exchange);
        at_work.push(answer);
        rig.wheel.sleep(5.0).await;
    }
    at_work
}

/// Whether the full region is left once some requests of this sort were refused while it was full, or before.
async fn is_left_after(refused: usize, full: bool, sort: impl Fn(&mut Exchange)) -> bool {
    let rig = Rig::new(&["n1", "s1"], roomy(), |_, _| vec![Act::Hang]).await;
    let spent: Rc<dyn Admission> = Rc::new(Spent);
    rig.proxy.set_admission(Rc::downgrade(&spent));
    let _before = if full { fill(&rig).await } else { Vec::new() };
    for _ in 0..refused {
        let (mut exchange, answer) = rig.exchange("refused", SAFE);
        sort(&mut exchange);
        rig.proxy.dispatch(exchange);
        assert!(matches!(answer.await, Ok(Answer::ShortOnCapacityReply(_))));
    }
    let _after = fill(&rig).await;
    let (exchange, _answer) = rig.exchange("last", SAFE);
    rig.proxy.dispatch(exchange);
    // Within a round of housekeeping the region is judged anew.
    rig.wheel.sleep(1_100.0).await;
    rig.servers().contains(&"s1".to_string())
}

#[test]
fn a_region_is_left_for_want_of_room_alone() {
    run(async {
        let in_vain =
            |exchange: &mut Exchange| (exchange.target_latency_ms, exchange.timeout_ms) = (100.0, 400.0);
        assert!(is_left_after(6, true, in_vain).await, "they waited for the full server");
        let no_unit = |exchange: &mut Exchange| exchange.unit_valid_until = exchange.arrived - 1.0;
        assert!(!is_left_after(20, false, no_unit).await, "no unit");
        let no_time = |exchange: &mut Exchange| exchange.timeout_ms = 1.0;
        assert!(!is_left_after(20, false, no_time).await, "no time");
    });
}

#[test]
fn a_server_gets_what_the_client_sent_and_what_the_gateway_vouches_for() {
    run(async {
        let answers = |_: usize, arrival: &Arrival| vec![Act::Say(good(&arrival.id))];
        let rig = Rig::new(&["n1"], roomy(), answers).await;
        for length in [Some(6), None] {
            let (mut exchange, answer) = rig.exchange("a", ONCE);
            let (to, parts) = mpsc::channel(2);
            exchange.body = RequestBody::Streamed(RefCell::new(Some(BodyStream { length, parts })));
            rig.proxy.dispatch(exchange);
            for part in ["abc", "def"] {
                to.send(BodyPart::Data(Bytes::from(part))).await.expect("wanted");
            }
            to.send(BodyPart::End).await.expect("wanted");
            assert_eq!(told(answer.await.expect("an answer")), fine("a"));
        }
        // One that breaks off is not sent again, and its connection ends.
        let (mut exchange, answer) = rig.exchange("b", SAFE);
        let (to, parts) = mpsc::channel(2);
        exchange.body = RequestBody::Streamed(RefCell::new(Some(BodyStream { length: Some(6), parts })));
        rig.proxy.dispatch(exchange);
        to.send(BodyPart::Data(Bytes::from("abc"))).await.expect("wanted");
        drop(to);
        assert!(told(answer.await.expect("an answer")).0 < 2);
        let arrivals = rig.arrivals.borrow();
        assert_eq!(arrivals.len(), 2);
        for arrival in arrivals.iter() {
            let all = |name| arrival.headers.all(name).collect::<Vec<_>>();
            assert_eq!((all("x-tenant-name"), all("x-expected-instance")), (vec!["t"], vec!["s0"]));
            assert_eq!(
                (all("x-attempt-id"), all("x-other"), all("host")),
                (vec!["a"], vec!["kept"], vec!["h"])
            );
            assert_eq!(
                (all("authorization").len(), all("connection").len(), &arrival.body[..]),
                (0, 0, &b"abcdef"[..])
            );
            let left: u64 = all("x-deadline-remaining")[0].parse().expect("whole ms");
            assert!((1..=9_990).contains(&left), "{left}");
        }
    });
}

#[test]
fn a_client_that_leaves_ends_what_may_be_repeated_and_leaves_the_rest_to_end() {
    run(async {
        let rig = Rig::new(&["n1"], roomy(), |_, _| vec![Act::Hang]).await;
        let under_way = async |id, repeat, before| {
            let (exchange, answer) = rig.exchange(id, repeat);
            rig.proxy.dispatch(exchange);
            while rig.servers().len() == before {
                tokio::task::yield_now().await;
            }
            drop(answer);
        };
        under_way("a", SAFE, 0).await;
        rig.hung_up.notified().await;
        rig.proxy.wait_until_idle().await;
        under_way("b", ONCE, 1).await;
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
        assert_eq!(rig.proxy.active_requests(), 1, "its server is at work on it");
    });
}

/// A server's work, given up for lack of time, with what `tuning` allows beside it; the client's answer once that work is done.
async fn given_up(tuning: ProxyTuning, leave: bool) -> (u16, String) {
    const KNOWN: usize = 20;
    let done = Rc::new(Notify::new());
    let work = done.clone();
    // After some quick ones one send takes too long; a further one, where it is allowed, is turned away: what is left would be a
    // refusal.
    let rig = Rig::new(&["n1", "n2"], tuning, move |before, arrival| match before {
        ..KNOWN => vec![Act::Say(good(&arrival.id))],
        KNOWN => vec![Act::Work(work.clone()), Act::Say(good(&arrival.id))],
        _ => vec![Act::Say(away(&arrival.id, 503))],
    })
    .await;
    let exchange = |id: &str| {
        let (exchange, answer) = rig.exchange(id, SAFE);
        (Exchange { target_latency_ms: 500.0, ..exchange }, answer)
    };
    for _ in 0..KNOWN {
        let (exchange, answer) = exchange("known");
        rig.proxy.dispatch(exchange);
        assert_eq!(told(answer.await.expect("exactly one answer")), fine("known"));
    }
    if leave {
        rig.proxy.begin_shutdown(Shutdown::begin(rig.wheel.now(), 0.0, GRACE_MS));
    }
    let (exchange, mut answer) = exchange("a");
    rig.proxy.dispatch(exchange);
    while rig.proxy.counts().rejected + rig.proxy.counts().further_attempts_denied == 0 {
        assert!(answer.try_recv().is_err(), "its first server is still at work");
        tokio::task::yield_now().await;
    }
    assert!(answer.try_recv().is_err(), "its first server is still at work");
    done.notify_one();
    let answer = told(answer.await.expect("exactly one answer"));
    rig.proxy.wait_until_idle().await;
    answer
}

#[test]
fn after_the_order_to_leave_no_work_is_broken_off_for_a_refusal() {
    run(async { assert_eq!(given_up(roomy(), true).await, fine("a")) });
}

/// The order to leave may come in the same moment: nobody knows of it when the work is given up.
#[test]
fn no_work_is_broken_off_where_no_other_send_is_allowed() {
    let tuning = ProxyTuning { retry_ratio: 0.0, retry_slack: 0, ..roomy() };
    run(async move { assert_eq!(given_up(tuning, false).await, fine("a")) });
}

/// The time that a server was told, ms.
fn time_told(arrival: &Arrival) -> f64 {
    arrival.headers.get("x-deadline-remaining").expect("a time").parse().expect("a number")
}

#[test]
fn after_the_order_to_leave_servers_are_told_to_stop_before_the_process_ends() {
    run(async {
        let rig = Rig::new(&["n1"], roomy(), |_, arrival| vec![Act::Say(good(&arrival.id))]).await;
        assert_eq!(told(rig.ask("before", ONCE).await), fine("before"));
        rig.proxy.begin_shutdown(Shutdown::begin(rig.wheel.now(), 0.0, GRACE_MS));
        assert_eq!(told(rig.ask("after", ONCE).await), fine("after"));
        let arrivals = rig.arrivals.borrow();
        assert!(time_told(&arrivals[0]) > 9_000.0);
        let most = GRACE_MS - 1_000.0 - roomy().deadline_margin_ms;
        assert!(time_told(&arrivals[1]) <= most, "{} of {most}", time_told(&arrivals[1]));
    });
}

#[test]
fn nothing_is_sent_that_could_not_end_before_the_process() {
    run(async {
        // The first server turns it away, and the order comes just then: the next send would come too late.
        let proxy: Rc<OnceCell<(Rc<Proxy>, Wheel)>> = Rc::default();
        let known = proxy.clone();
        let rig = Rig::new(&["n1", "n2"], roomy(), move |_, arrival| {
            let (proxy, wheel) = known.get().expect("made");
            proxy.begin_shutdown(Shutdown::begin(wheel.now(), 0.0, 0.0));
            vec![Act::Say(away(&arrival.id, 503))]
        })
        .await;
        assert!(proxy.set((rig.proxy.clone(), rig.wheel.clone())).is_ok());
        for (id, repeat) in [("once", ONCE), ("safe", SAFE)] {
            assert_eq!(told(rig.ask(id, repeat).await), (1, String::new()), "{id}: told that it has not run");
        }
        // The second came after the order: no server had it.
        assert_eq!(rig.arrivals.borrow().len(), 1);
        rig.proxy.wait_until_idle().await;
    });
}
