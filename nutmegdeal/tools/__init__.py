"""Command-line programs. Importing this package applies gevent's monkey patches."""

from gevent import monkey

monkey.patch_all()
