//! Runs scenarios of the experiment tool and writes a table, JSON files and SVG plots.

use bluebellreel_experiment::{Scenario, compare, draw, table};
use eyre::{Context, bail};
use std::path::PathBuf;

/// Runs scenarios against the program's own decision functions.
#[derive(argh::FromArgs)]
struct Arguments {
    /// folder for the JSON and SVG files; none are written without it
    #[argh(option)]
    out: Option<PathBuf>,
    /// scenario files (TOML)
    #[argh(positional)]
    scenarios: Vec<PathBuf>,
}

fn main() -> eyre::Result<()> {
    let arguments: Arguments = argh::from_env();
    if arguments.scenarios.is_empty() {
        bail!("no scenario given; there are some in scenarios/");
    }
    for path in &arguments.scenarios {
        let text = std::fs::read_to_string(path).wrap_err_with(|| path.display().to_string())?;
        let scenario = match Scenario::try_from(text.as_str()) {
            Ok(scenario) => scenario,
            Err(reason) => bail!("{}: {reason}", path.display()),
        };
        let comparison = compare(&scenario);
        println!("{}", table(&comparison));
        if let Some(folder) = &arguments.out {
            std::fs::create_dir_all(folder)?;
            let name = path.file_stem().unwrap_or_default().to_string_lossy();
            let json = serde_json::to_string_pretty(&comparison)?;
            std::fs::write(folder.join(format!("{name}.json")), json)?;
            draw(&comparison, &folder.join(format!("{name}.svg")))?;
        }
    }
    Ok(())
}
