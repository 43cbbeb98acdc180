//! The program: `fleet-emulator run SCENARIO` and `fleet-emulator sweep SCENARIO --over KEY=a,b,c`.

use std::process::ExitCode;

fn main() -> ExitCode {
    fleet_emulator::cli::main()
}
