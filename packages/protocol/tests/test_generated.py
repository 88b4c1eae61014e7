"""The committed modules are what the generator makes of the .proto files today."""

import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

SOURCE = Path(__file__).resolve().parents[1] / "src"
PACKAGE = SOURCE / "persimmonusher_protocol"


class GeneratedCodeTest(unittest.TestCase):
    def test_generated_code_is_in_step_with_its_source(self) -> None:
        # Two instances of one version disagree on a message: a .proto file was changed and the
        # module that is committed was not made anew.
        plugins = str(Path(sys.executable).parent)
        path = os.pathsep.join([plugins, os.environ.get("PATH", "")])
        with tempfile.TemporaryDirectory() as folder:
            command = [sys.executable, "-m", "grpc_tools.protoc", f"--proto_path={SOURCE}"]
            command += [f"--python_out={folder}", f"--grpclib_python_out={folder}"]
            command += [str(proto) for proto in sorted(PACKAGE.glob("*.proto"))]
            subprocess.run(command, check=True, env={**os.environ, "PATH": path})
            made = sorted((Path(folder) / PACKAGE.name).glob("*.py"))
            self.assertGreaterEqual(len(made), 10)
            for module in made:
                with self.subTest(module.name):
                    committed = PACKAGE / module.name
                    self.assertEqual(module.read_text(), committed.read_text())


if __name__ == "__main__":
    unittest.main()
