"""`python3 -m plumline ROLE`."""

from plumline.cli import main

main()
