"""Runs a gateway of a soak whose links to upstreams can be cut.

    python tools/soakgateway.py CUT_FILE node.py's arguments

While the file exists its text names a :class:`~tools.cutnetwork.Cut`.
"""

import signal
import sys
from pathlib import Path
from runpy import run_path

# As in node.py: its default action would end the process during the imports.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from tools.cutnetwork import Cut, CutNetwork  # noqa: E402

UPSTREAM_PORTS = (":18000", ":18010")


class FileNetwork(CutNetwork):
    """The links of one VM, cut as a file says.

    :param path: the file.
    """

    def __init__(self, path: Path) -> None:
        super().__init__(lambda address: address.endswith(UPSTREAM_PORTS))
        self._path = path

    def get_cut(self, vm: str, address: str) -> Cut | None:
        """Return what the file says of upstreams' addresses."""
        if not address.endswith(UPSTREAM_PORTS):
            return None
        try:
            return Cut(self._path.read_text())
        except (FileNotFoundError, ValueError):
            # Nothing is cut, or the file is being written.
            return None


def main() -> None:
    """Start the gateway."""
    path, *rest = sys.argv[1:]
    node = str(ROOT / "platform" / "node.py")
    sys.argv = [node, *rest]
    sys.path.insert(0, str(Path(node).parent))
    with FileNetwork(Path(path)).install():
        run_path(node, run_name="__main__")


if __name__ == "__main__":
    main()
