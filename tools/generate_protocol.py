"""Regenerate the protobuf and grpclib modules from the .proto files.

The generated modules are committed, so that builds and runs need no generator.
"""

import os
import sys
from importlib.resources import files
from pathlib import Path

from grpc_tools import protoc

SOURCE = Path(__file__).resolve().parent.parent / "packages" / "protocol" / "src"


def generate() -> int:
    """Run the compiler over each .proto file and return its exit code."""
    # The compiler searches PATH for its grpclib plugin, which is installed beside the interpreter.
    plugins = str(Path(sys.executable).parent)
    os.environ["PATH"] = os.pathsep.join([plugins, os.environ.get("PATH", "")])
    protos = sorted(str(path.relative_to(SOURCE)) for path in SOURCE.rglob("*.proto"))
    well_known_types = files("grpc_tools") / "_proto"
    return int(
        protoc.main(
            [
                "protoc",
                f"--proto_path={SOURCE}",
                f"--proto_path={well_known_types}",
                f"--python_out={SOURCE}",
                f"--pyi_out={SOURCE}",
                f"--grpclib_python_out={SOURCE}",
                *protos,
            ]
        )
    )


if __name__ == "__main__":
    sys.exit(generate())
