//! Settings of a keeper.

use bluebellreel_settings::parse_keeper;

const GOOD: &str = r#"
[vm]
name = "store-1"
address = "10.0.0.7"
data_centre = "hall"

[listen]
calls_port = 7720

[data]
folder = "/data"

[peers]
seeds = ["10.0.0.1:8166", "10.0.0.2:8166"]

[stop]
grace_s = 8
"#;

#[test]
fn good_settings_are_read() {
    let read = parse_keeper("keeper.toml", GOOD).expect("they are good");
    assert_eq!(read.name.as_str(), "store-1");
    assert_eq!(read.seeds.len(), 2);
    assert_eq!(read.calls.to_string(), "10.0.0.7:7720");
    assert_eq!(read.grace.as_secs(), 8);
    let without_seeds = GOOD.split("[peers]").next().expect("a part");
    let read = parse_keeper("keeper.toml", without_seeds).expect("seeds may lack");
    assert!(read.seeds.is_empty());
    assert_eq!(read.grace.as_secs(), 5, "the usual one");
}

/// A mistake names the file and the key, as only a phone is at hand.
#[test]
fn mistakes_are_named() {
    let wrong = [
        (GOOD.replace("store-1", ""), "vm.name"),
        (GOOD.replace("/data", "data"), "data.folder"),
        (GOOD.replace("folder", "place"), "folder"),
        (GOOD.replace("10.0.0.1:8166", "here"), "seeds"),
        (GOOD.replace("grace_s = 8", "grace_s = 0.5"), "stop.grace_s"),
        (GOOD.replace("grace_s = 8", "grace_s = nan"), "stop.grace_s"),
        (
            GOOD.replace("grace_s = 8", "grace_s = 1e30"),
            "stop.grace_s",
        ),
        (GOOD.replace("grace_s = 8", "grace = 8"), "grace_s"),
    ];
    for (text, key) in wrong {
        let e = parse_keeper("keeper.toml", &text).expect_err("it is wrong");
        let e = e.to_string();
        assert!(e.contains("keeper.toml") && e.contains(key), "{key}: {e}");
    }
}
