//! Settings files: those that the page shows, those that are wrong.

use nickeljunction_schema::{Bounds, Settings};

const COMMON: &str = r#"
node_name = "core-leith-hall-1"
serves = ["control","directory"]
ip_address = "10.1.0.38"
zone = "leith-hall"
region = "lothian"
internal_port_range = [7740,7755]
seed_nodes = ["10.1.0.38:8688","10.3.0.33:8688"]
initial_start = true
data_directory = "/data/core"
discovery_source = "registration"
contracts = ["base","drain"]
[zones]
leith-hall = "lothian"
govan-hall = "strathclyde"
[listen_addresses]
control_plane = "10.1.0.38:8688"
directory_service = "10.1.0.38:8684"
frontend = "10.1.0.38:8686"
readiness = "10.1.0.38:8680"
[limits]
cpu_share = 0.6
memory_mb = 256.5
disk_mb = 256
[fault_tolerance]
machine_failures = 1
zones = 1.0
[bounds]
contact_s = 5
revert_slack_s = 0.5
revocation_strict = true
later_s = 3
"#;

#[test]
fn the_pages_example_is_read() {
    let settings = Settings::parse(COMMON, "boot.toml").unwrap();
    let core = settings.core_checked().unwrap();
    assert_eq!(core.inner.to_string(), "10.1.0.38:7740");
    assert_eq!(core.directory.unwrap().port(), 8684);
    assert_eq!((core.control.port(), core.seeds.len(), core.data.to_str()), (8688, 2, Some("/data/core")));
    let edge = settings.edge_checked().unwrap();
    assert_eq!((edge.frontend.port(), edge.readiness.port(), edge.inner_port), (8686, 8680, 7740));
    assert_eq!(settings.region_of("govan-hall"), Some("strathclyde"));
    assert_eq!(settings.region_of("elsewhere"), None);
    assert!(settings.has_contract("drain") && !settings.has_contract("quota") && settings.serves("control"));
    let wanted = Bounds { contact_s: 5.0, revert_slack_s: 0.5, revocation_strict: true, ..Bounds::usual() };
    assert_eq!(settings.bounds, wanted);
    assert_eq!((settings.limits.memory_mb, settings.limits.max_file_descriptors), (256, 4_096));
    assert_eq!((settings.fault_tolerance.zones, settings.fault_tolerance.region_failures), (1, 0));
}

#[test]
fn errors_name_file_field_and_what_is_wanted() {
    let cases = [
        (
            "frontend = \"10.1.0.38:8686\"",
            "frontend = \"x\"",
            "listen_addresses.frontend: wants IP:PORT, got \"x\"",
        ),
        ("frontend = \"10.1.0.38:8686\"", "", "listen_addresses.frontend: wants IP:PORT, got \"\""),
        (
            "[7740,7755]",
            "[7755,7740]",
            "internal_port_range: wants [FIRST, LAST], ports from 1 to 65535, got [7755",
        ),
        ("[7740,7755]", "[7740,70000]", "internal_port_range: wants [FIRST, LAST]"),
        ("\"10.3.0.33:8688\"]", "\"core:8688\"]", "seed_nodes[1]: wants IP:PORT, got \"core:8688\""),
        ("\"10.1.0.38:8688\",\"10.3.0.33:8688\"", "", "seed_nodes: wants at least one IP:PORT, got none"),
        ("node_name = \"core-leith-hall-1\"", "", "node_name: wants a name, got none"),
        ("zone = \"leith-hall\"", "zone = 3", "zone: invalid type: integer `3`, expected a string"),
        ("contact_s = 5", "contact_s = \"5\"", "bounds.contact_s: invalid type: string \"5\", expected f64"),
        ("contact_s = 5", "contact_s = -1", "bounds.contact_s: wants a number, 0 or more, got -1"),
        ("contact_s = 5", "contact_s = nan", "bounds.contact_s: wants a number, 0 or more, got NaN"),
        ("memory_mb = 256.5", "memory_mb = 0", "limits.memory_mb: wants a number above 0, got 0"),
        (
            "ip_address = \"10.1.0.38\"",
            "ip_address = \"here\"",
            "ip_address: wants an IP address, got \"here\"",
        ),
    ];
    for (was, is, wanted) in cases {
        assert!(COMMON.contains(was), "{was}");
        let settings = Settings::parse(&COMMON.replace(was, is), "boot.toml");
        let error = settings.and_then(|settings| settings.edge_checked().map(drop)).unwrap_err().to_string();
        assert!(error.starts_with(&format!("boot.toml: {wanted}")), "{error}");
    }
    for (was, is, wanted) in [
        ("data_directory = \"/data/core\"", "", "data_directory: wants a folder on the disk, got none"),
        (
            "directory_service = \"10.1.0.38:8684\"",
            "",
            "listen_addresses.directory_service: wants IP:PORT, got \"\"",
        ),
    ] {
        let settings = Settings::parse(&COMMON.replace(was, is), "boot.toml").unwrap();
        assert_eq!(settings.core_checked().unwrap_err().to_string(), format!("boot.toml: {wanted}"));
    }
    let error = Settings::parse("node_name = \"a\"\nzone = = 3", "boot.toml").unwrap_err().to_string();
    assert!(error.starts_with("boot.toml:2: "), "{error}");
    let error = Settings::read("/nowhere/boot.toml").unwrap_err().to_string();
    assert!(error.starts_with("/nowhere/boot.toml: "), "{error}");
}
