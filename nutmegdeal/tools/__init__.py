"""Command-line programs; importing this package makes blocking calls cooperative."""

from gevent import monkey

monkey.patch_all()
