//! Arguments.

use std::path::PathBuf;

xflags::xflags! {
    /// Tells the control of nickeljunction what to do, and what it knows. FILE may be '-' for standard input.
    ///
    /// Ends with 0 (done), 1 (refused or failed) or 2 (bad use, or bad input: file and place are named).
    cmd njctl {
        /// HOST:PORT of control, several joined by commas, tried in turn; else taken from NICKELJUNCTION_CONTROL.
        optional --at addresses: String
        /// Most seconds for the whole order (default: 10).
        optional --timeout seconds: f64
        /// Seconds without a byte after which the next address is tried (default: 1; more for large bodies).
        optional --silence seconds: f64
        /// Prints JSON.
        optional --json

        /// Checks a configuration, or a change of one, without sending it.
        cmd check {
            /// A configuration, or a change (with 'upsert' or 'remove').
            required file: PathBuf
            /// Configuration that the change is made to; without it only the change's form is checked.
            optional --base base: PathBuf
        }
        /// Puts a whole configuration in place.
        cmd put {
            /// The configuration.
            required file: PathBuf
            /// Version it builds on (0: the first); without it, the one that is in place.
            optional --on version: u64
        }
        /// Changes named items of the configuration.
        cmd patch {
            /// The change: config_version, upsert, remove.
            required file: PathBuf
            /// Version it builds on; without it, the one that is in place, and the result is checked first.
            optional --on version: u64
        }
        /// Prints the configuration in place.
        cmd get {}
        /// Asks that nothing more be sent to a zone's servers.
        cmd evacuate {
            /// The zone.
            required zone: String
        }
        /// Takes an evacuation back.
        cmd return {
            /// The zone.
            required zone: String
        }
        /// Asks every machine of control how it stands: those of --at and the members that they name.
        cmd status {
            /// Ends with 1 if anything is doubtful.
            optional --strict
        }
        /// Asks as 'status' does, again and again, and prints a line for each change.
        cmd watch {
            /// Seconds between two looks (default: 0.5).
            optional --every seconds: f64
            /// Seconds after which it ends (default: when interrupted).
            optional --during seconds: f64
        }
        /// Who is a member of the core, and orders on it; HOST is the IP address of a core machine.
        cmd core {
            /// Shows members, learners and awaited machines, as the leader sees them.
            cmd list {}
            /// Has a machine become a member, and waits until it is one.
            cmd add {
                /// The machine.
                required host: String
            }
            /// Has a machine cease to be a member, and waits until it has.
            cmd remove {
                /// The machine.
                required host: String
            }
            /// Has a machine take another one's place, and waits until it has.
            cmd replace {
                /// The member that goes.
                required old: String
                /// The machine that comes.
                required new: String
            }
        }
        /// Tenants' trials: one that lapses is slowed stage by stage, one that is restored goes back the same way.
        cmd trial {
            /// Has a tenant's trial lapse.
            cmd lapse {
                /// The tenant.
                required tenant: String
            }
            /// Takes that back.
            cmd restore {
                /// The tenant.
                required tenant: String
            }
            /// Shows how far trials have lapsed, as the leader sees them.
            cmd state status {
                /// This tenant alone.
                optional tenant: String
            }
            /// Shows what each stage of a tenant's trial does.
            cmd plan {
                /// The tenant.
                required tenant: String
                /// A configuration, in the place of the one that is in place.
                optional --config file: PathBuf
            }
        }
        /// Keyed operations that the core remembers, as the leader sees them; nothing is changed.
        cmd operations {
            /// Shows how many there are, how old they are by generation, and how claims were answered.
            cmd all list {}
            /// Shows who holds one of them, and since when.
            cmd show {
                /// Its X-Operation-Key.
                optional --key key: String
                /// Its tenant; without it, a key of a route that needs no tenant.
                optional --tenant tenant: String
                /// Its digest of 32 hexadecimal digits, in the place of key and tenant.
                optional --digest digits: String
            }
        }
        /// Tells what becomes of a request: its route, tenant, homes, quota, and which servers may be asked and why.
        cmd explain {
            /// Its host name.
            required --host name: String
            /// Its path (default: /).
            optional --path path: String
            /// Its method (default: GET).
            optional --method method: String
            /// Its key, or '-' for standard input; never printed.
            optional --key key: String
            /// Zone of the gateway that takes it.
            optional --from zone: String
        }
        /// Prints a script for a shell that completes commands and flags.
        cmd completion {
            /// bash, zsh or fish.
            required shell: String
        }
        /// Stands in for a server on loopback until interrupted: answers with its seal, and says to control that it lives.
        cmd stand-in {
            /// The service.
            required service: String
            /// The zone.
            required zone: String
            /// Name of this life; without it one is made from the port.
            optional --id id: String
        }
        /// Brings up three core processes and two gateways on loopback, shows what they do, and ends them again.
        cmd demo {
            /// Leaves them running afterwards, until interrupted.
            optional --keep
        }
        /// Has a tenant's trial lapse under traffic, among faults, and checks from the logs of clients and servers alone that
        /// it is slowed gradually, in step and evenly.
        cmd demo-ebb {
            /// Seconds of traffic, 30 to 600 (default: 46).
            optional --seconds seconds: f64
            /// Draws the traffic (default: 1).
            optional --seed seed: u64
            /// Gives all clients of a kind the same time; without it each has its own, 2 to 4 s.
            optional --alike
            /// The drawing of added waits (default: target/ebb.svg).
            optional --out file: PathBuf
            /// Breaks one gateway on purpose: twice, denied, lost, uneven or late. The check must then end with 1.
            optional --broken what: String
        }
        /// Has operators race while machines are killed, frozen, wiped and replaced, and checks from their logs alone that the
        /// configuration bears it.
        cmd demo-storm {
            /// Seconds of traffic, 20 to 600 (default: 120).
            optional --seconds seconds: f64
            /// Draws the faults and the traffic (default: 1).
            optional --seed seed: u64
            /// The drawing (default: target/storm.svg).
            optional --out file: PathBuf
            /// Breaks one machine on purpose: stale-read, lost-ack, double-ack, refused, twice or goes-back. The check must
            /// then end with 1.
            optional --broken what: String
        }
        /// Has clients book by keys at several gateways while gateways and core machines are lost, and at last all power, and
        /// checks from the logs of clients and servers alone that each key ran once.
        cmd demo-once {
            /// Seconds of faults, 10 to 600 (default: 60).
            optional --seconds seconds: f64
            /// Draws the faults and the traffic (default: 1).
            optional --seed seed: u64
            /// The drawing (default: target/once.svg).
            optional --out file: PathBuf
            /// Breaks one gateway on purpose: no-key. The check must then end with 1.
            optional --broken what: String
        }
    }
}
