//! Figures of a program for machines that collect them: the text format that is spoken of as Prometheus' 0.0.4, written
//! when it is asked for and kept nowhere.

use crate::desk::{Answering, Call, Desk, Limits, Resource, Response};
use crate::start::{listen, StartError};
use crate::wheel::Wheel;
use std::fmt::Write;
use std::net::{IpAddr, SocketAddr};
use std::process::ExitCode;
use std::rc::Rc;

/// Where figures are.
pub const METRICS: &str = "/metrics";
/// Collectors at a time.
const MOST_COLLECTORS: usize = 8;
/// What the format calls itself.
const CONTENT_TYPE: &str = "text/plain; version=0.0.4; charset=utf-8";
/// Tenants, services and the like that are told one by one at most: a page stays short.
pub const MOST_LABELLED: usize = 100;

/// How a figure moves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// It rises, from 0 at the program's start.
    Counter,
    /// It goes up and down.
    Gauge,
}

/// A page of figures as it is written.
#[derive(Debug, Default)]
pub struct Page {
    text: String,
    name: &'static str,
}

impl Page {
    /// A page without a figure.
    pub fn new() -> Page {
        Page::default()
    }

    /// Begins a figure: `name` of letters, digits and underscores, `help` one line without backslashes. Its values follow.
    pub fn figure(&mut self, name: &'static str, kind: Kind, help: &str) -> &mut Page {
        let kind = match kind {
            Kind::Counter => "counter",
            Kind::Gauge => "gauge",
        };
        // Writing to a string doesn't fail.
        let _ = write!(self.text, "# HELP {name} {help}\n# TYPE {name} {kind}\n");
        self.name = name;
        self
    }

    /// One value of the figure begun last; labels tell several apart.
    pub fn value(&mut self, labels: &[(&str, &str)], value: f64) -> &mut Page {
        self.text.push_str(self.name);
        for (place, (label, text)) in labels.iter().enumerate() {
            let _ = write!(self.text, "{}{label}=\"", if place == 0 { '{' } else { ',' });
            for char in text.chars() {
                match char {
                    '\\' | '"' => self.text.extend(['\\', char]),
                    '\n' => self.text.push_str("\\n"),
                    char => self.text.push(char),
                }
            }
            self.text.push('"');
        }
        if !labels.is_empty() {
            self.text.push('}');
        }
        // Not Rust's word for it.
        let _ = match value.is_infinite() {
            true => writeln!(self.text, " {}Inf", if value > 0.0 { '+' } else { '-' }),
            false => writeln!(self.text, " {value}"),
        };
        self
    }

    /// A figure with one value.
    pub fn one(&mut self, name: &'static str, kind: Kind, help: &str, value: f64) -> &mut Page {
        self.figure(name, kind, help).value(&[], value)
    }

    /// The page.
    pub fn into_text(self) -> String {
        self.text
    }
}

/// What writes a program's page.
pub type Writer = Rc<dyn Fn(&mut Page)>;

struct Metrics(Writer);

impl Resource for Metrics {
    fn handle<'a>(&'a self, call: Call) -> Answering<'a> {
        Box::pin(async move {
            if call.method != "GET" && call.method != "HEAD" {
                return Response::error(405, "wants GET").with("Allow", "GET, HEAD");
            }
            let mut page = Page::new();
            (self.0)(&mut page);
            let body = page.into_text().into();
            Response { body, ..Response::empty(200) }.with("Content-Type", CONTENT_TYPE)
        })
    }
}

/// Offers figures on an address of the operators' own for as long as the program runs; gives the address, with the port
/// that port 0 came to. Must run in a `LocalSet`.
///
/// # Errors
/// The address is taken, or not this machine's.
pub async fn offer(wheel: &Wheel, address: SocketAddr, writer: Writer) -> Result<SocketAddr, StartError> {
    let listener = listen("figures", address).await?;
    let address = listener.local_addr().unwrap_or(address);
    let limits = Limits { connections: MOST_COLLECTORS, body: 1024, ..Limits::default() };
    let desk = Desk::new(wheel.clone(), limits).route(METRICS, Rc::new(Metrics(writer)));
    tokio::task::spawn_local(Rc::new(desk).serve(listener));
    log::info!("event=figures_offered at={address}{METRICS}");
    Ok(address)
}

/// Where figures are to be had, as the command line says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    /// At this address.
    Address(SocketAddr),
    /// At this port of the machine's own address.
    Port(u16),
}

impl std::str::FromStr for Place {
    type Err = ();

    fn from_str(text: &str) -> Result<Place, ()> {
        let port = text.parse().ok().filter(|port| *port > 0).map(Place::Port);
        port.or_else(|| text.parse().ok().map(Place::Address)).ok_or(())
    }
}

/// Offers figures where the command line says, on a machine of this address. A port that is written once for all machines
/// may be taken on one of them: that is logged, and the program serves without.
///
/// # Errors
/// An address of the operators' own is taken.
pub async fn offer_at(wheel: &Wheel, place: Place, own: IpAddr, writer: Writer) -> Result<(), StartError> {
    let offered = match place {
        Place::Address(address) => return offer(wheel, address, writer).await.map(drop),
        Place::Port(port) => offer(wheel, SocketAddr::new(own, port), writer).await,
    };
    if let Err(error) = offered {
        log::error!("event=figures_not_offered error={:?}", error.to_string());
    }
    Ok(())
}

/// The place that the command line names; the exit code 2 where it is none, with the option on standard error.
///
/// # Errors
/// The exit code.
pub fn place(program: &str, told: Option<&str>) -> Result<Option<Place>, ExitCode> {
    let Some(told) = told else { return Ok(None) };
    told.parse().map(Some).map_err(|()| {
        eprintln!("{program}: --figures: wants IP:PORT or PORT, got {told:?}");
        ExitCode::from(2)
    })
}

/// Whether each line of a page is as the format wants it, and each figure is told of once, before its values; else the
/// line. For tests.
///
/// # Errors
/// The first line that isn't.
pub fn well_formed(page: &str) -> Result<Vec<String>, String> {
    let plain = |name: &str| {
        let starts = name.starts_with(|letter: char| letter.is_ascii_lowercase());
        starts
            && name
                .chars()
                .all(|letter| letter.is_ascii_lowercase() || letter.is_ascii_digit() || letter == '_')
    };
    let mut names: Vec<String> = Vec::new();
    let mut lines = page.lines();
    while let Some(line) = lines.next() {
        let bad = || line.to_string();
        if let Some(rest) = line.strip_prefix("# HELP ") {
            let (name, _) = rest.split_once(' ').ok_or_else(bad)?;
            let kind = lines
                .next()
                .and_then(|line| line.strip_prefix(&format!("# TYPE {name} ")))
                .ok_or_else(bad)?;
            let total = name.ends_with("_total") || name.ends_with("_sum") || name.ends_with("_count");
            if !plain(name) || names.iter().any(|known| known == name) || (kind == "counter") != total {
                return Err(bad());
            }
            names.push(name.to_string());
            continue;
        }
        let (series, value) = line.rsplit_once(' ').ok_or_else(bad)?;
        let (name, labels) = series.split_once('{').unwrap_or((series, "}"));
        let fine = names.last().is_some_and(|last| last == name)
            && (labels == "}"
                || labels.ends_with("\"}") && labels.split("\",").all(|pair| pair.contains("=\"")))
            && value.parse::<f64>().is_ok();
        if !fine {
            return Err(bad());
        }
    }
    if page.is_empty() || page.ends_with('\n') {
        Ok(names)
    } else {
        Err("no end of line".into())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};

    #[test]
    fn labels_are_escaped_and_a_page_reads_as_the_format_wants() {
        let mut page = Page::new();
        page.one("a_total", Kind::Counter, "Some.", 3.0);
        page.figure("b", Kind::Gauge, "Others.").value(&[("x", "q\"\\\n"), ("y", "")], 0.25);
        page.value(&[("x", "z"), ("y", "")], f64::INFINITY);
        let text = page.into_text();
        assert_eq!(
            text,
            "# HELP a_total Some.\n# TYPE a_total counter\na_total 3\n\
             # HELP b Others.\n# TYPE b gauge\nb{x=\"q\\\"\\\\\\n\",y=\"\"} 0.25\nb{x=\"z\",y=\"\"} +Inf\n"
        );
        assert_eq!(well_formed(&text), Ok(vec!["a_total".to_string(), "b".to_string()]));
        assert!(well_formed("a 1\n").is_err(), "nobody told of it");
        assert!(well_formed("# HELP a x\n# TYPE a gauge\na one\n").is_err());
    }

    #[test]
    fn a_place_is_an_address_or_a_port() {
        assert_eq!("9464".parse(), Ok(Place::Port(9_464)));
        assert_eq!("127.0.0.1:0".parse(), Ok(Place::Address(SocketAddr::from(([127, 0, 0, 1], 0)))));
        for bad in ["", "0", "65536", "-1", "here", "9464/metrics", "10.0.0.1"] {
            assert_eq!(bad.parse::<Place>(), Err(()), "{bad}");
        }
    }

    #[test]
    fn a_taken_port_of_the_machine_ends_nothing_and_a_taken_address_does() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("runtime");
        let test = async {
            let taken = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = taken.local_addr().expect("bound");
            let wheel = Wheel::new(crate::clock::Clock::start());
            let offered = |place| offer_at(&wheel, place, address.ip(), Rc::new(|_: &mut Page| {}));
            assert!(offered(Place::Port(address.port())).await.is_ok());
            assert!(offered(Place::Address(address)).await.is_err());
        };
        tokio::task::LocalSet::new().block_on(&runtime, test);
    }

    #[test]
    fn a_collector_gets_the_page_and_others_an_answer() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("runtime");
        let ask = |path: &'static str, at: SocketAddr| async move {
            let mut stream = tokio::net::TcpStream::connect(at).await.expect("it listens");
            let call = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
            stream.write_all(call.as_bytes()).await.expect("it takes the call");
            let mut answer = String::new();
            stream.read_to_string(&mut answer).await.expect("it answers");
            answer
        };
        let (page, other) = tokio::task::LocalSet::new().block_on(&runtime, async {
            let wheel = Wheel::new(crate::clock::Clock::start());
            tokio::task::spawn_local(wheel.clone().run());
            let writer: Writer = Rc::new(|page| {
                page.one("a", Kind::Gauge, "One.", 1.0);
            });
            let at = offer(&wheel, "127.0.0.1:0".parse().expect("address"), writer).await.expect("free port");
            (ask(METRICS, at).await, ask("/", at).await)
        });
        let (head, body) = page.split_once("\r\n\r\n").expect("head and body");
        assert!(head.starts_with("HTTP/1.1 200 ") && head.contains(CONTENT_TYPE), "{head}");
        assert_eq!(well_formed(body), Ok(vec!["a".to_string()]));
        assert!(other.starts_with("HTTP/1.1 404 "), "{other}");
    }

    #[test]
    fn an_address_that_is_none_ends_the_program() {
        assert_eq!(place("edge", Some("127.0.0.1:0")).map_err(|_| ()), Ok("127.0.0.1:0".parse().ok()));
        assert_eq!(place("edge", None).map_err(|_| ()), Ok(None));
        assert!(place("edge", Some("here")).is_err());
    }
}
