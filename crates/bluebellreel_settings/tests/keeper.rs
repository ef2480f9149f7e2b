//! Settings of a keeper.

use bluebellreel_settings::parse_keeper;

const VALID: &str = r#"
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
fn valid_settings_are_parsed() {
    let read = parse_keeper("keeper.toml", VALID).expect("valid settings");
    assert_eq!(read.name.as_str(), "store-1");
    assert_eq!(read.seeds.len(), 2);
    assert_eq!(read.calls.to_string(), "10.0.0.7:7720");
    assert_eq!(read.grace.as_secs(), 8);
    let without_seeds = VALID.split("[peers]").next().expect("a part");
    let read =
        parse_keeper("keeper.toml", without_seeds).expect("settings without seeds are valid");
    assert!(read.seeds.is_empty());
    assert_eq!(read.grace.as_secs(), 5, "the default");
}

/// An error must name the file and the key, as the operator may have only a phone to
/// find the mistake with.
#[test]
fn errors_name_the_file_and_the_key() {
    let wrong = [
        (VALID.replace("store-1", ""), "vm.name"),
        (VALID.replace("/data", "data"), "data.folder"),
        (VALID.replace("folder", "place"), "folder"),
        (VALID.replace("10.0.0.1:8166", "here"), "seeds"),
        (
            VALID.replace("grace_s = 8", "grace_s = 0.5"),
            "stop.grace_s",
        ),
        (
            VALID.replace("grace_s = 8", "grace_s = nan"),
            "stop.grace_s",
        ),
        (
            VALID.replace("grace_s = 8", "grace_s = 1e30"),
            "stop.grace_s",
        ),
        (VALID.replace("grace_s = 8", "grace = 8"), "grace_s"),
    ];
    for (text, key) in wrong {
        let e = parse_keeper("keeper.toml", &text).expect_err("invalid settings");
        let e = e.to_string();
        assert!(e.contains("keeper.toml") && e.contains(key), "{key}: {e}");
    }
}
