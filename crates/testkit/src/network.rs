//! A faulty network between every directed pair of parties, all on loopback: datagrams between gateways pass a relay
//! each, which sends them on from the address by which the receiver knows the sender; connections from gateways to the
//! counter, discovery and booking servers pass a relay that delays, drips, cuts or resets them.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::sync::mpsc;

/// Who takes part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Party {
    /// A gateway by its number.
    Gateway(usize),
    /// The counter.
    Counter,
    /// Discovery.
    Discovery,
    /// A booking server by its number.
    Region(usize),
}

/// What befalls what goes one way between two parties.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Link {
    /// Part of the datagrams that is lost.
    pub loss: f64,
    /// Part that comes twice.
    pub double: f64,
    /// Part in which a bit is turned over.
    pub corrupt: f64,
    /// Time under way, ms.
    pub delay_ms: f64,
    /// What chance adds to it at most, ms; datagrams overtake one another by it.
    pub spread_ms: f64,
    /// Nothing passes and nobody is told: half-open silence on connections, which are reset when it ends.
    pub cut: bool,
    /// Connections are reset.
    pub reset: bool,
    /// Connections carry so many bytes each 10 ms at most; 0: any number.
    pub drip: usize,
}

type Links = Arc<Mutex<HashMap<(Party, Party), Link>>>;

/// When gateways ended their connections, by the address that the other side sees them come from. A server's own
/// thread sees it later, and what the gateway sent elsewhere afterwards sooner.
pub type Closings = Arc<Mutex<HashMap<SocketAddr, Instant>>>;

enum Order {
    Connections {
        gateway: usize,
        to: Party,
        upstream: SocketAddr,
        bound: std::sync::mpsc::Sender<SocketAddr>,
    },
    Datagrams {
        gateways: usize,
        bound: std::sync::mpsc::Sender<Vec<Vec<SocketAddr>>>,
    },
    Noise {
        gateway: usize,
        per_s: u32,
        ms: u64,
    },
}

/// The network; it ends with this.
pub struct Network {
    links: Links,
    orders: mpsc::UnboundedSender<Order>,
    /// When connections were ended by gateways.
    pub closings: Closings,
    /// Where each gateway's processes listen for datagrams: one, or two that claim its number.
    pub listening: Arc<Mutex<BTreeMap<usize, Vec<SocketAddr>>>>,
}

/// The address that a gateway's connections come from at the other side: who sent what shows by it.
pub fn source(gateway: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 43, 0, (gateway + 1) as u8))
}

/// The gateway that connects from this address.
pub fn gateway_of(address: IpAddr) -> Option<usize> {
    match address {
        IpAddr::V4(address) if address.octets()[..3] == [127, 43, 0] => {
            usize::from(address.octets()[3]).checked_sub(1)
        }
        _ => None,
    }
}

impl Network {
    /// Starts one; chance goes by the seed, as far as time allows.
    pub fn start(seed: u64) -> Network {
        let links = Links::default();
        let listening: Arc<Mutex<BTreeMap<usize, Vec<SocketAddr>>>> = Arc::default();
        let (orders, mut taken) = mpsc::unbounded_channel();
        let closings = Closings::default();
        let (shared, places, ended) = (links.clone(), listening.clone(), closings.clone());
        std::thread::spawn(move || {
            let runtime =
                tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
            tokio::task::LocalSet::new().block_on(&runtime, async move {
                fastrand::seed(seed);
                let mut mesh = Vec::new();
                while let Some(order) = taken.recv().await {
                    match order {
                        Order::Connections { gateway, to, upstream, bound } => {
                            let listener =
                                TcpListener::bind("127.0.0.1:0").await.expect("a port of loopback");
                            let _ = bound.send(listener.local_addr().expect("its address"));
                            let links = shared.clone();
                            let ended = ended.clone();
                            tokio::task::spawn_local(connections(
                                listener, gateway, to, upstream, links, ended,
                            ));
                        }
                        Order::Datagrams { gateways, bound } => {
                            mesh = datagrams(gateways, &shared, &places).await;
                            let _ = bound
                                .send(mesh.iter().map(|row: &Vec<Arc<UdpSocket>>| addresses(row)).collect());
                        }
                        Order::Noise { gateway, per_s, ms } => {
                            let sockets: Vec<Arc<UdpSocket>> = mesh.get(gateway).cloned().unwrap_or_default();
                            tokio::task::spawn_local(noise(sockets, gateway, per_s, ms, places.clone()));
                        }
                    }
                }
            });
        });
        Network { links, orders, closings, listening }
    }

    /// Relays for the datagrams of so many gateways: `[i][j]` is where gateway `i` reaches `j`, and where what `j`
    /// sends comes from to it.
    pub fn datagrams(&self, gateways: usize) -> Vec<Vec<SocketAddr>> {
        let (bound, told) = std::sync::mpsc::channel();
        let _ = self.orders.send(Order::Datagrams { gateways, bound });
        told.recv().expect("the network's thread")
    }

    /// A relay for connections of a gateway to another party; where the gateway reaches it.
    pub fn connections(&self, gateway: usize, to: Party, upstream: SocketAddr) -> SocketAddr {
        let (bound, told) = std::sync::mpsc::channel();
        let _ = self.orders.send(Order::Connections { gateway, to, upstream, bound });
        told.recv().expect("the network's thread")
    }

    /// Noise in the name of all others to a gateway's socket.
    pub fn noise(&self, gateway: usize, per_s: u32, ms: u64) {
        let _ = self.orders.send(Order::Noise { gateway, per_s: per_s.clamp(1, 20_000), ms: ms.min(60_000) });
    }

    /// From now on a link one way is like this.
    pub fn set(&self, from: Party, to: Party, link: Link) {
        self.links.lock().expect("links").insert((from, to), link);
    }

    /// All links are fine again.
    pub fn heal(&self) {
        self.links.lock().expect("links").clear();
    }
}

fn addresses(row: &[Arc<UdpSocket>]) -> Vec<SocketAddr> {
    row.iter().map(|socket| socket.local_addr().expect("its address")).collect()
}

fn link(links: &Links, from: Party, to: Party) -> Link {
    links.lock().expect("links").get(&(from, to)).copied().unwrap_or_default()
}

async fn datagrams(
    gateways: usize,
    links: &Links,
    listening: &Arc<Mutex<BTreeMap<usize, Vec<SocketAddr>>>>,
) -> Vec<Vec<Arc<UdpSocket>>> {
    let mut mesh = Vec::new();
    for _ in 0..gateways {
        let mut row = Vec::new();
        for _ in 0..gateways {
            row.push(Arc::new(UdpSocket::bind("127.0.0.1:0").await.expect("a port of loopback")));
        }
        mesh.push(row);
    }
    for (from, row) in mesh.iter().enumerate() {
        for (to, into) in row.iter().enumerate().filter(|(to, _)| *to != from) {
            let (into, out) = (into.clone(), mesh[to][from].clone());
            let (links, listening) = (links.clone(), listening.clone());
            tokio::task::spawn_local(async move {
                let mut buffer = [0; 2048];
                while let Ok((length, _)) = into.recv_from(&mut buffer).await {
                    let way = link(&links, Party::Gateway(from), Party::Gateway(to));
                    if way.cut || fastrand::f64() < way.loss {
                        continue;
                    }
                    let places = listening.lock().expect("places").get(&to).cloned().unwrap_or_default();
                    if places.is_empty() {
                        continue;
                    }
                    let place = places[fastrand::usize(0..places.len())];
                    for _ in 0..1 + usize::from(fastrand::f64() < way.double) {
                        let mut bytes = buffer[..length].to_vec();
                        if length > 0 && fastrand::f64() < way.corrupt {
                            bytes[fastrand::usize(0..length)] ^= 1 << fastrand::u8(0..8);
                        }
                        let ms = way.delay_ms + fastrand::f64() * way.spread_ms;
                        let out = out.clone();
                        if ms < 0.1 {
                            let _ = out.try_send_to(&bytes, place);
                            continue;
                        }
                        tokio::task::spawn_local(async move {
                            tokio::time::sleep(Duration::from_secs_f64(ms / 1_000.0)).await;
                            let _ = out.send_to(&bytes, place).await;
                        });
                    }
                }
            });
        }
    }
    mesh
}

async fn noise(
    sockets: Vec<Arc<UdpSocket>>,
    gateway: usize,
    per_s: u32,
    ms: u64,
    listening: Arc<Mutex<BTreeMap<usize, Vec<SocketAddr>>>>,
) {
    let ends = tokio::time::Instant::now() + Duration::from_millis(ms);
    while tokio::time::Instant::now() < ends && !sockets.is_empty() {
        let place =
            listening.lock().expect("places").get(&gateway).and_then(|places| places.first().copied());
        for _ in 0..(per_s / 100).max(1) {
            let bytes: Vec<u8> = (0..fastrand::usize(0..300)).map(|_| fastrand::u8(..)).collect();
            let from = &sockets[fastrand::usize(0..sockets.len())];
            if let Some(place) = place {
                let _ = from.try_send_to(&bytes, place);
            }
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

async fn connections(
    listener: TcpListener,
    gateway: usize,
    to: Party,
    upstream: SocketAddr,
    links: Links,
    ended: Closings,
) {
    while let Ok((client, _)) = listener.accept().await {
        let _ = client.set_nodelay(true);
        tokio::task::spawn_local(connection(client, gateway, to, upstream, links.clone(), ended.clone()));
    }
}

/// Resets a connection rather than ending it in order.
fn reset(stream: &TcpStream) {
    let _ = stream.set_zero_linger();
}

async fn connection(
    client: TcpStream,
    gateway: usize,
    to: Party,
    upstream: SocketAddr,
    links: Links,
    ended: Closings,
) {
    let (here, there) = (Party::Gateway(gateway), to);
    let lost = |way: Link| way.cut;
    if link(&links, here, there).reset {
        return reset(&client);
    }
    // A cut says nothing: the connection stays, silent, until the cut ends.
    if lost(link(&links, here, there)) || lost(link(&links, there, here)) {
        while lost(link(&links, here, there)) || lost(link(&links, there, here)) {
            tokio::time::sleep(Duration::from_millis(20)).await;
            let mut byte = [0; 1];
            if matches!(client.try_read(&mut byte), Ok(0)) {
                return;
            }
        }
        return reset(&client);
    }
    let connect = async {
        let socket = TcpSocket::new_v4()?;
        socket.bind(SocketAddr::new(source(gateway), 0))?;
        socket.connect(upstream).await
    };
    let Ok(server) = connect.await else { return reset(&client) };
    let _ = server.set_nodelay(true);
    let (mut from_client, mut to_client) = client.into_split();
    let (mut from_server, mut to_server) = server.into_split();
    let seen_as = from_server.local_addr().ok();
    let up = async {
        let fine = pass(&mut from_client, &mut to_server, &links, here, there).await;
        if let Some(address) = seen_as {
            ended.lock().expect("closings").insert(address, Instant::now());
        }
        fine
    };
    let down = pass(&mut from_server, &mut to_client, &links, there, here);
    let (up, down) = tokio::join!(up, down);
    if !(up && down) {
        let client = from_client.reunite(to_client);
        let server = from_server.reunite(to_server);
        client.iter().chain(server.iter()).for_each(reset);
    }
}

/// One direction until it ends in order (`true`), or is cut or reset.
async fn pass(
    from: &mut tokio::net::tcp::OwnedReadHalf,
    to: &mut tokio::net::tcp::OwnedWriteHalf,
    links: &Links,
    here: Party,
    there: Party,
) -> bool {
    let mut buffer = [0; 16 * 1024];
    loop {
        let most = match link(links, here, there).drip {
            0 => buffer.len(),
            bytes => bytes.min(buffer.len()),
        };
        let read = tokio::select! {
            read = from.read(&mut buffer[..most]) => read,
            // What was cut while it was idle ends, too, once the link is back.
            () = broken(links, here, there) => return false,
        };
        let way = link(links, here, there);
        if way.reset {
            return false;
        }
        if way.cut {
            broken(links, here, there).await;
            return false;
        }
        let length = match read {
            Ok(0) => {
                let _ = to.shutdown().await;
                return true;
            }
            Ok(length) => length,
            Err(_) => return false,
        };
        let ms = way.delay_ms + fastrand::f64() * way.spread_ms + if way.drip > 0 { 10.0 } else { 0.0 };
        if ms >= 0.1 {
            tokio::time::sleep(Duration::from_secs_f64(ms / 1_000.0)).await;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return false;
        }
    }
}

/// Returns once the link was cut and is back, or is being reset.
async fn broken(links: &Links, here: Party, there: Party) {
    let mut cut = false;
    loop {
        let way = link(links, here, there);
        if way.reset || (cut && !way.cut) {
            return;
        }
        cut |= way.cut;
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
}
