//! Drawn stories of a whole servers' side: requests together at servers that answer late, twice, for others, badly or not
//! at all, clients that go, and the order to leave. The servers keep the book that the rule is checked by.

use bytes::{Bytes, BytesMut};
use nickeljunction_core::facade::RetrySafety;
use nickeljunction_core::life::Answer;
use nickeljunction_edge::exchange::{Dispatch, Exchange, RequestBody, ResponseBody, ServerResponse};
use nickeljunction_edge::proxy::Proxy;
use nickeljunction_edge::proxy_types::{BackendConfig, ProxyTuning};
use nickeljunction_edge::shutdown::Shutdown;
use nickeljunction_edge::upstream::Location;
use nickeljunction_http::stream::read_request_head;
use nickeljunction_messages::{ServerInfo, ServerState};
use nickeljunction_net::budget::Budget;
use nickeljunction_net::clock::Clock;
use nickeljunction_net::wheel::Wheel;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::{spawn_local, JoinSet, LocalSet};

/// Requests of a story, and servers.
/// From the order to leave to the end of the process, ms.
const GRACE_MS: f64 = 6_000.0;
const REQUESTS: usize = 16;
const SERVERS: usize = 3;
/// Most servers that a request may be sent to.
const MOST: u32 = 2;
/// How much later than its time an answer may come on a busy machine, ms.
const LATE_MS: f64 = 2_000.0;

/// How long a server is silent before its connection ends, ms.
const SILENT_MS: f64 = 200.0;

/// What a server does with a request once it is there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Act {
    Good,
    /// The answer to the request before on the connection once more, and then the own one.
    SurplusFirst,
    /// Its own answer twice.
    Twice,
    /// Its own answer, and some time later once more.
    TwiceLate,
    /// It runs, and the connection ends.
    RunAndReset,
    RunAndClose,
    /// It runs, and half of the answer comes.
    RunAndHalf,
    RunAndSilence,
    Failure,
    Unclear,
    TurnedAway,
    Misdirected,
    Foreign,
}

const ACTS: [Act; 13] = [
    Act::Good,
    Act::SurplusFirst,
    Act::Twice,
    Act::TwiceLate,
    Act::RunAndReset,
    Act::RunAndClose,
    Act::RunAndHalf,
    Act::RunAndSilence,
    Act::Failure,
    Act::Unclear,
    Act::TurnedAway,
    Act::Misdirected,
    Act::Foreign,
];

/// What the servers have seen of one request.
#[derive(Debug, Clone, Copy, Default)]
struct Line {
    arrived: u32,
    ran: u32,
    /// A server said that it had failed.
    failed: bool,
}

struct Book {
    wheel: Wheel,
    draws: RefCell<fastrand::Rng>,
    lines: RefCell<HashMap<String, Line>>,
}

fn answer(id: &str, status: u16, lines: &str) -> Vec<u8> {
    let body = format!("for {id}");
    format!(
        "HTTP/1.1 {status} X\r\nX-Attempt-Id: {id}\r\n{lines}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

async fn serve(mut stream: TcpStream, book: Rc<Book>) {
    let (mut from, mut last) = (BytesMut::new(), None::<String>);
    loop {
        let head = loop {
            match read_request_head(&mut from, 16_384).expect("a request") {
                Some(head) => break head,
                None if stream.read_buf(&mut from).await.unwrap_or(0) == 0 => return,
                None => {}
            }
        };
        let id = head.headers.get("x-attempt-id").expect("an id").to_string();
        // Good ones are the most: servers that seldom answer would soon be sent nothing.
        let (act, pause_ms) = {
            let mut draws = book.draws.borrow_mut();
            let act = if draws.bool() { Act::Good } else { ACTS[draws.usize(..ACTS.len())] };
            (act, if draws.u8(..4) == 0 { draws.f64() * 300.0 } else { 0.0 })
        };
        {
            let mut lines = book.lines.borrow_mut();
            let line = lines.entry(id.clone()).or_default();
            line.arrived += 1;
            line.ran += u32::from(!matches!(act, Act::TurnedAway | Act::Misdirected));
            line.failed |= act == Act::Failure;
        }
        book.wheel.sleep(pause_ms).await;
        let good = answer(&id, 200, "X-Response-Seal: s\r\n");
        let bytes = match act {
            Act::Good | Act::TwiceLate => good.clone(),
            Act::SurplusFirst => {
                let surplus = last.as_ref().map(|last| answer(last, 200, "X-Response-Seal: s\r\n"));
                [surplus.unwrap_or_default(), good.clone()].concat()
            }
            Act::Twice => [good.clone(), good.clone()].concat(),
            Act::RunAndReset | Act::RunAndClose | Act::RunAndSilence => Vec::new(),
            Act::RunAndHalf => good[..good.len() - 3].to_vec(),
            Act::Failure => answer(&id, 500, "X-Response-Seal: s\r\n"),
            Act::Unclear => answer(&id, 503, ""),
            Act::TurnedAway => answer(&id, 503, "X-Not-Executed: 1\r\n"),
            Act::Misdirected => answer(&id, 421, ""),
            Act::Foreign => answer("nobody", 200, "X-Response-Seal: s\r\n"),
        };
        if stream.write_all(&bytes).await.is_err() {
            return;
        }
        match act {
            Act::RunAndReset => {
                return socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("a socket");
            }
            Act::RunAndClose | Act::RunAndHalf => return,
            Act::RunAndSilence => {
                book.wheel.sleep(SILENT_MS).await;
                return;
            }
            Act::TwiceLate => {
                book.wheel.sleep(5.0).await;
                if stream.write_all(&good).await.is_err() {
                    return;
                }
            }
            _ => {}
        }
        last = Some(id);
    }
}

fn exchange(
    wheel: &Wheel,
    id: &str,
    repeat: RetrySafety,
    patience_ms: f64,
) -> (Exchange, oneshot::Receiver<Answer<ServerResponse>>) {
    let mut head = BytesMut::from("GET /a HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: x\r\n\r\n");
    let head = read_request_head(&mut head, 4_096).expect("good").expect("whole");
    let (reply, answer) = oneshot::channel();
    let exchange = Exchange {
        method: head.method,
        target: head.target,
        headers: head.headers,
        body: RequestBody::Buffered(Bytes::new()),
        attempt_id: id.to_string(),
        tenant: None,
        unit_valid_until: f64::INFINITY,
        backend: "b".into(),
        home_regions: Rc::new([]),
        retry_safety: repeat,
        target_latency_ms: 500.0,
        max_attempts: MOST,
        priority: 0,
        arrived: wheel.now(),
        timeout_ms: patience_ms,
        reply,
    };
    (exchange, answer)
}

/// What became of the requests of a story.
#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    arrived: u32,
    served: u32,
    failed: u32,
    refused: u32,
    gone: u32,
    /// Requests that ran twice, as they may.
    twice: u32,
}

/// What a client was told.
enum Told {
    Served(u16, String),
    Failed,
    Refused,
    Gone,
}

async fn story(wheel: Wheel, seed: u64) -> Tally {
    let draws = RefCell::new(fastrand::Rng::with_seed(seed));
    let book = Rc::new(Book { wheel: wheel.clone(), draws, lines: RefCell::default() });
    let here = Location { name: "g1".into(), zone: "n1".into(), region: "n".into() };
    let tuning = ProxyTuning { retry_slack: 1_000, ..ProxyTuning::default() };
    let proxy = Proxy::new(wheel.clone(), Budget::new(200), here, seed, tuning);
    let (mut tasks, mut lines) = (JoinSet::new(), Vec::new());
    tasks.spawn_local(proxy.clone().run());
    for at in 0..SERVERS {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound").to_string();
        let (id, backend, zone) = (format!("s{at}"), "b".to_string(), "n1".to_string());
        lines.push(ServerInfo {
            id,
            backend,
            address,
            zone,
            slots: 4,
            state: ServerState::InService,
            cold: None,
        });
        let book = book.clone();
        tasks.spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(serve(stream, book.clone()));
            }
        });
    }
    proxy.set_gateway_count(1);
    proxy.update_backends(HashMap::from([(
        "b".to_string(),
        BackendConfig { max_connections: 100, warmup_per_s: 0.0 },
    )]));
    proxy.update_servers(&lines, &[], &HashMap::from([("n1".to_string(), "n".to_string())]));
    let mut draws = fastrand::Rng::with_seed(!seed);
    let leaves_at = if draws.bool() { draws.f64() * 400.0 } else { f64::INFINITY };
    let mut clients = JoinSet::new();
    for number in 0..REQUESTS {
        let repeat = if draws.bool() { RetrySafety::AtMostOnce } else { RetrySafety::Idempotent };
        // Few have little time: on a busy machine that decides what becomes of them.
        let patience_ms = if draws.u8(..10) == 0 { 300.0 } else { 3_000.0 };
        let begin_ms = draws.f64() * 400.0;
        let goes_ms = if draws.u8(..6) == 0 { draws.f64() * 200.0 } else { f64::INFINITY };
        let (wheel, proxy) = (wheel.clone(), proxy.clone());
        clients.spawn_local(async move {
            wheel.sleep(begin_ms).await;
            let id = format!("{seed}-{number}");
            let began = wheel.now();
            let (exchange, answer) = exchange(&wheel, &id, repeat, patience_ms);
            proxy.dispatch(exchange);
            let told = match wheel.timeout(goes_ms.min(60_000.0), answer).await {
                None => Told::Gone,
                Some(answer) => match answer.expect("exactly one answer") {
                    Answer::Served(ServerResponse { status, body: ResponseBody::Buffered(body), .. }) => {
                        Told::Served(status, String::from_utf8(body.to_vec()).expect("text"))
                    }
                    Answer::Served(_) => panic!("{id}: a long answer"),
                    Answer::Failed => Told::Failed,
                    Answer::ShortOnCapacityReply(_) => Told::Refused,
                },
            };
            let held_ms = wheel.now() - began;
            assert!(held_ms < patience_ms + LATE_MS, "{id}: held for {held_ms} of {patience_ms} ms");
            (id, repeat, told)
        });
    }
    if leaves_at.is_finite() {
        wheel.sleep(leaves_at).await;
        proxy.begin_shutdown(Shutdown::begin(wheel.now(), 0.0, GRACE_MS));
    }
    let mut ends = Vec::new();
    while let Some(end) = clients.join_next().await {
        ends.push(end.expect("a client"));
    }
    // What is still under way may yet run.
    proxy.wait_until_idle().await;
    let mut tally = Tally::default();
    for (id, repeat, told) in ends {
        let line = book.lines.borrow().get(&id).copied().unwrap_or_default();
        let once = repeat == RetrySafety::AtMostOnce;
        assert!(line.arrived <= MOST, "{id}: beyond the route's most: {line:?}");
        assert!(!once || line.ran <= 1, "{id}: ran twice: {line:?}");
        match told {
            Told::Served(status, body) => {
                assert_eq!(body, format!("for {id}"), "{id}: another one's answer");
                assert!(
                    status == 200 && line.ran > 0 || status == 500 && line.failed,
                    "{id}: {status}, {line:?}"
                );
                tally.served += 1;
            }
            Told::Refused => {
                assert!(!once || line.ran == 0, "{id}: refused, and it ran: {line:?}");
                tally.refused += 1;
            }
            Told::Failed => tally.failed += 1,
            Told::Gone => tally.gone += 1,
        }
        tally.arrived += line.arrived;
        tally.twice += u32::from(line.ran > 1);
    }
    tally
}

#[test]
fn in_drawn_stories_no_answer_goes_astray_and_nothing_runs_more_often_than_it_may() {
    const STORIES: u64 = 120;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let wheel = Wheel::new(Clock::start());
        spawn_local(wheel.clone().run());
        let mut all = Tally::default();
        let mut stories = JoinSet::new();
        (0..STORIES).for_each(|seed| drop(stories.spawn_local(story(wheel.clone(), seed))));
        while let Some(one) = stories.join_next().await {
            let one = one.expect("a story");
            all = Tally {
                arrived: all.arrived + one.arrived,
                served: all.served + one.served,
                failed: all.failed + one.failed,
                refused: all.refused + one.refused,
                gone: all.gone + one.gone,
                twice: all.twice + one.twice,
            };
        }
        println!("{STORIES} stories: {all:?}");
        // They bring the troubles about that the rule is about.
        assert!(all.served > 200 && all.failed > 20 && all.gone > 20 && all.twice > 5, "{all:?}");
    });
}
