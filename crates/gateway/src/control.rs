//! Commands over a Unix socket: a line of JSON each way, one command a connection. The socket is the operators'
//! alone: made with mode 0600, and whoever connects must be of the same user, or root.

use futures_util::{SinkExt, StreamExt};
use nickeljunction_config::bundle::{Bundle, Tag};
use nickeljunction_config::problem::Problem;
use nickeljunction_config::transaction::Epoch;
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::io::{BufRead, BufReader, Write};
use std::os::unix::fs::{MetadataExt, PermissionsExt};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{mpsc, oneshot};
use tokio_util::codec::{Framed, LinesCodec};

/// Longest command, bytes: a document with its files, escaped as JSON.
const MOST_LINE: usize = 32 * 1024 * 1024;
/// Most connections at a time.
const MOST_CONNECTIONS: usize = 8;
/// Longest wait for a command, and for its answer.
const ASK_WITHIN: Duration = Duration::from_secs(10);
const ANSWER_WITHIN: Duration = Duration::from_secs(60);

/// A command.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case")]
pub enum Ask {
    /// Check, prepare and stage a document.
    Stage {
        /// The document with its files.
        bundle: Bundle,
        /// Its signature.
        tag: Option<Tag>,
        /// Who.
        who: String,
        /// And why.
        why: String,
        /// Also in place of another operator's.
        replace: bool,
    },
    /// Apply what is staged.
    Apply {
        /// It must be this one.
        epoch: Option<Epoch>,
        /// Who.
        who: String,
        /// Taken back if not confirmed by then, ms.
        confirm_within_ms: f64,
        /// Held if not all gateways have it by then, ms.
        gather_within_ms: f64,
    },
    /// Confirm what is on trial.
    Confirm {
        /// Who.
        who: String,
    },
    /// Take back what is under way.
    Rollback {
        /// Who.
        who: String,
        /// And why.
        why: String,
    },
    /// What is in force and under way.
    Status,
    /// The view of the fleet.
    Fleet,
    /// All steps.
    History,
    /// The document of an epoch.
    Show {
        /// The epoch.
        epoch: Epoch,
    },
}

/// What a command came to.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Told {
    /// Exit code: 0 done, 1 failed, 2 bad input.
    pub exit: u8,
    /// A line for people.
    pub text: String,
    /// What is wrong with a document.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub problems: Vec<Problem>,
    /// What was asked for.
    #[serde(default)]
    pub data: serde_json::Value,
}

impl Told {
    /// Done.
    pub fn done(text: impl Into<String>, data: serde_json::Value) -> Told {
        Told { exit: 0, text: text.into(), problems: Vec::new(), data }
    }

    /// Failed.
    pub fn failed(text: impl Into<String>) -> Told {
        Told { exit: 1, text: text.into(), ..Told::default() }
    }

    /// Bad input.
    pub fn bad(text: impl Into<String>, problems: Vec<Problem>) -> Told {
        Told { exit: 2, text: text.into(), problems, ..Told::default() }
    }
}

/// A command with where its answer goes.
pub type Command = (Ask, oneshot::Sender<Told>);

/// The listening socket; its file goes with it.
pub struct Control {
    listener: UnixListener,
    path: PathBuf,
    owner: u32,
}

impl Drop for Control {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

impl Control {
    /// Listens at a path; folders on the way to it are made. A file that a dead process left is replaced.
    ///
    /// # Errors
    /// Another process listens there, something else lies there, or it can't be made.
    pub fn listen(path: &Path) -> Result<Control, String> {
        let said = |why: String| format!("daemon.control: {}: {why}", path.display());
        if let Some(folder) = path.parent().filter(|folder| !folder.as_os_str().is_empty()) {
            std::fs::create_dir_all(folder).map_err(|why| said(why.to_string()))?;
        }
        if let Ok(found) = std::fs::symlink_metadata(path) {
            use std::os::unix::fs::FileTypeExt;
            if !found.file_type().is_socket() {
                return Err(said("something that is no socket lies there".into()));
            }
            if std::os::unix::net::UnixStream::connect(path).is_ok() {
                return Err(said("another process listens there".into()));
            }
            std::fs::remove_file(path).map_err(|why| said(why.to_string()))?;
        }
        let listener = UnixListener::bind(path).map_err(|why| said(why.to_string()))?;
        let private = std::fs::Permissions::from_mode(0o600);
        std::fs::set_permissions(path, private).map_err(|why| said(why.to_string()))?;
        let owner = std::fs::metadata(path).map_err(|why| said(why.to_string()))?.uid();
        Ok(Control { listener, path: path.to_path_buf(), owner })
    }

    /// Takes commands for as long as it is polled.
    pub async fn run(self, commands: mpsc::UnboundedSender<Command>) {
        let open = Rc::new(Cell::new(0usize));
        loop {
            let stream = match self.listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    // Out of descriptors: those of the requests come first.
                    tracing::warn!(%error, "a command's connection could not be accepted");
                    tokio::time::sleep(Duration::from_millis(100)).await;
                    continue;
                }
            };
            // Guards the moment between making the socket and setting its mode, and a folder open to others.
            let allowed = stream.peer_cred().is_ok_and(|peer| peer.uid() == self.owner || peer.uid() == 0);
            if !allowed || open.get() >= MOST_CONNECTIONS {
                continue;
            }
            open.set(open.get() + 1);
            let (commands, open) = (commands.clone(), open.clone());
            tokio::task::spawn_local(async move {
                serve(stream, commands).await;
                open.set(open.get() - 1);
            });
        }
    }
}

async fn serve(stream: UnixStream, commands: mpsc::UnboundedSender<Command>) {
    let mut lines = Framed::new(stream, LinesCodec::new_with_max_length(MOST_LINE));
    let told = match tokio::time::timeout(ASK_WITHIN, lines.next()).await {
        Ok(Some(Ok(line))) => match serde_json::from_str::<Ask>(&line) {
            Ok(ask) => {
                let (to, told) = oneshot::channel();
                let _ = commands.send((ask, to));
                match tokio::time::timeout(ANSWER_WITHIN, told).await {
                    Ok(Ok(told)) => told,
                    _ => Told::failed("no answer: the gateway stops, or is busy"),
                }
            }
            Err(why) => Told::bad(format!("no command: {why}"), Vec::new()),
        },
        Ok(Some(Err(why))) => Told::bad(format!("no command: {why}"), Vec::new()),
        Ok(None) | Err(_) => return,
    };
    if let Ok(text) = serde_json::to_string(&told) {
        let _ = tokio::time::timeout(ASK_WITHIN, lines.send(text)).await;
    }
}

/// Sends a command to the gateway that listens at a path, and waits for what it came to.
///
/// # Errors
/// No gateway listens there, or it says nothing.
pub fn ask(path: &Path, ask: &Ask) -> Result<Told, String> {
    let said = |why: String| format!("{}: {why}", path.display());
    let mut stream = std::os::unix::net::UnixStream::connect(path)
        .map_err(|why| said(format!("no gateway listens there ({why})")))?;
    let _ = stream.set_read_timeout(Some(ANSWER_WITHIN + ASK_WITHIN));
    let _ = stream.set_write_timeout(Some(ASK_WITHIN));
    let mut line = serde_json::to_string(ask).map_err(|why| said(why.to_string()))?;
    line.push('\n');
    stream.write_all(line.as_bytes()).map_err(|why| said(why.to_string()))?;
    let mut answer = String::new();
    BufReader::new(stream).read_line(&mut answer).map_err(|why| said(why.to_string()))?;
    serde_json::from_str(&answer)
        .map_err(|_| said("the gateway closed the connection without an answer".into()))
}
