"""Moves with the real decision code on a fake clock (tools/fv-moves)."""
import subprocess

from fleet import ROOT


def run(build):
    done = subprocess.run([str(ROOT / build / "fv-moves")], capture_output=True, text=True, timeout=120)
    lines = done.stdout.strip().splitlines()
    print("\n".join(lines[:-1]))
    return dict(item.split("=", 1) for item in lines[-1].split()[1:])
