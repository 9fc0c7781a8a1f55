//! Regions as ephemeral nodes: the gateway against a stand-in that speaks ZooKeeper's protocol.

mod scenario;

use scenario::Rig;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::Duration;

#[derive(Default)]
struct State {
    /// The children of `/regions`; `None`: it is not there.
    children: Option<BTreeMap<String, String>>,
    streams: Vec<TcpStream>,
    sessions: i64,
    expired: bool,
}

/// The stand-in: one session at a time, every watch fires on every change.
struct Ensemble {
    address: String,
    state: Arc<Mutex<State>>,
    /// Sessions as clients name them at connecting, and children whose data were read.
    seen: Receiver<String>,
}

fn text(text: &str) -> Vec<u8> {
    [&(text.len() as i32).to_be_bytes(), text.as_bytes()].concat()
}

fn write(stream: &mut TcpStream, parts: &[&[u8]]) {
    let body = parts.concat();
    let _ = stream.write_all(&[&(body.len() as i32).to_be_bytes(), &body[..]].concat());
}

fn read(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).ok()?;
    let mut body = vec![0; i32::from_be_bytes(length) as usize];
    stream.read_exact(&mut body).ok().map(|()| body)
}

fn int(body: &[u8], at: usize) -> i32 {
    i32::from_be_bytes(body[at..at + 4].try_into().expect("four bytes"))
}

fn serve(mut stream: TcpStream, state: &Mutex<State>, seen: &Sender<String>) -> Option<()> {
    let hello = read(&mut stream)?;
    let id = i64::from_be_bytes(hello[16..24].try_into().expect("eight bytes"));
    let _ = seen.send(format!("session {id}"));
    {
        let mut state = state.lock().expect("state");
        // An expired session is told by a time-out of 0, and the connection ends.
        let (timeout, id) = if id != 0 && state.expired {
            (0, 0)
        } else {
            (600i32, if id != 0 { id } else { state.sessions + 1 })
        };
        state.expired &= timeout != 0;
        state.sessions = state.sessions.max(id);
        write(
            &mut stream,
            &[&[0; 4], &timeout.to_be_bytes(), &id.to_be_bytes(), &16i32.to_be_bytes(), &[7; 16], &[0]],
        );
        if timeout == 0 {
            return None;
        }
        state.streams.push(stream.try_clone().expect("a second handle"));
    }
    loop {
        let body = read(&mut stream)?;
        let (xid, kind) = (int(&body, 0), int(&body, 4));
        let path = || String::from_utf8_lossy(&body[12..12 + int(&body, 8) as usize]).to_string();
        let state = state.lock().expect("state");
        let head = |error: i32| [&xid.to_be_bytes()[..], &9i64.to_be_bytes(), &error.to_be_bytes()].concat();
        match (kind, &state.children) {
            (11, _) => write(&mut stream, &[&head(0)]),
            (8, Some(children)) => {
                assert_eq!(path(), "/regions");
                let names: Vec<u8> = children.keys().flat_map(|name| text(name)).collect();
                write(&mut stream, &[&head(0), &(children.len() as i32).to_be_bytes(), &names]);
            }
            (4, Some(children)) => {
                let name = path().replace("/regions/", "");
                match children.get(&name) {
                    Some(data) => write(&mut stream, &[&head(0), &text(data), &[0; 68]]),
                    None => write(&mut stream, &[&head(-101)]),
                }
                let _ = seen.send(format!("read {name}"));
            }
            (4 | 8, None) => write(&mut stream, &[&head(-101)]),
            other => panic!("not of this protocol: {}", other.0),
        }
    }
}

impl Ensemble {
    fn start() -> Ensemble {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        let state = Arc::new(Mutex::new(State::default()));
        let (to, seen) = channel();
        let shared = state.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (shared, to) = (shared.clone(), to.clone());
                std::thread::spawn(move || serve(stream, &shared, &to));
            }
        });
        Ensemble { address, state, seen }
    }

    /// Sets the children and fires the watch on them.
    fn set(&self, children: &[(&str, String)]) {
        let mut state = self.state.lock().expect("state");
        let own = |(name, data): &(&str, String)| (name.to_string(), data.clone());
        state.children = Some(children.iter().map(own).collect());
        let event = [
            &(-1i32).to_be_bytes()[..],
            &(-1i64).to_be_bytes(),
            &[0; 4],
            &4i32.to_be_bytes(),
            &3i32.to_be_bytes(),
        ];
        let event = [&event.concat()[..], &text("/regions")].concat();
        state.streams.iter_mut().for_each(|stream| write(stream, &[&event]));
    }

    /// Breaks all connections, and lets their session expire or not.
    fn cut(&self, expired: bool) {
        let mut state = self.state.lock().expect("state");
        state.expired = expired;
        state.streams.drain(..).for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
    }

    fn expect(&self, wanted: &str) {
        let got = self.seen.recv_timeout(Duration::from_secs(20)).expect("something is asked");
        assert_eq!(got, wanted);
    }
}

/// One request, which must go to this region.
fn served_by(rig: &mut Rig, region: &str) {
    let text = "wait 500\na: send GET /safe/1\nR: expect GET /safe/1\nR: send 200 x\na: expect 200 x";
    rig.play(&text.replace("R:", &format!("{region}:")));
}

#[test]
fn regions_come_and_go_with_their_nodes_through_expiry_and_reconnect() {
    let ensemble = Ensemble::start();
    let file = format!(r#"{{"servers":["{}"],"path":"/regions","session_ms":600}}"#, ensemble.address);
    let mut rig = Rig::new(2, &[("NICKELJUNCTION_EPHEMERAL", &file)]);
    let (one, two) = (rig.target("r1"), rig.target("r2"));
    // At first the parent is not there: what was known from before the start stays in force.
    ensemble.expect("session 0");
    ensemble.set(&[("r2", two.clone())]);
    ensemble.expect("read r2");
    served_by(&mut rig, "r2");
    // A node goes and another comes.
    ensemble.set(&[("r1", one.clone())]);
    ensemble.expect("read r1");
    served_by(&mut rig, "r1");
    // The connection breaks: the session is taken up again, and all is read anew.
    ensemble.cut(false);
    ensemble.expect("session 1");
    ensemble.expect("read r1");
    served_by(&mut rig, "r1");
    // The session expires: the next is a new one, and misses nothing that changed meanwhile.
    ensemble.cut(true);
    ensemble.set(&[("r2", two), ("broken", "{not json".into())]);
    ensemble.expect("session 1");
    ensemble.expect("session 0");
    ensemble.expect("read broken");
    ensemble.expect("read r2");
    served_by(&mut rig, "r2");
}
