//! Settings of the real processes are those that the programs take.

use hollow::processes::{Machine, Part, Processes};
use nickeljunction_schema::Settings;
use std::net::Ipv4Addr;

#[test]
fn the_settings_of_every_machine_are_taken() {
    let processes = Processes::describe(vec![machine(Part::Core, 11), machine(Part::Edge, 21)], 0.5, 20_300);
    let core = Settings::parse(&processes.settings(&processes.machines[0]), "core").expect("readable");
    let addresses = core.core_checked().expect("complete");
    assert_eq!(addresses.inner, processes.inner()[0]);
    assert_eq!(addresses.seeds, processes.control());
    assert!(core.initial_start);
    let edge = Settings::parse(&processes.settings(&processes.machines[1]), "edge").expect("readable");
    assert_eq!(edge.edge_checked().expect("complete").frontend.to_string(), "127.0.1.21:20300");
}

fn machine(part: Part, last: u8) -> Machine {
    Machine { name: format!("m-{last}"), part, ip: Ipv4Addr::new(127, 0, 1, last) }
}
