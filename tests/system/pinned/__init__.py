"""Files and bytes that an earlier revision wrote, with the scripts that wrote them. See `program.py`."""
